#ifndef EXPLORE_SRC_REPORT_H
#define EXPLORE_SRC_REPORT_H

/* What a run reports: the rule that broke, and lines of output (report.c). */

#include "state.h"

/* A rule is broken. The first break of a run stands; later ones follow from it and are ignored. */
void explore_break(Explore *explore, Rule rule, const char *format, ...) __attribute__((format(printf, 3, 4)));
/* Prints a line with its time, when the run is loud. */
void explore_say(const Explore *explore, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
