#ifndef EXPLORE_SRC_REPORT_H
#define EXPLORE_SRC_REPORT_H

/* Reporting: the first broken rule of a run, and its log output (report.c). */

#include "state.h"

/* Records that the rule is broken; format describes the circumstances. Only the first break of a run is recorded:
 * later ones may be consequences of it and are ignored. */
void explore_report_break(Explore *explore, Rule rule, const char *format, ...) __attribute__((format(printf, 3, 4)));
/* In verbose mode, prints a line prefixed with the time since the adversary started, in ms. */
void explore_log(const Explore *explore, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
