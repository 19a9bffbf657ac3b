#ifndef MODEL_RANDOM_SOURCE_H
#define MODEL_RANDOM_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/* The random source of the model: numbers from a seed, one sequence for each purpose, so that a draw for one purpose
 * changes nothing in another. */
typedef struct RandomSource {
    uint64_t state;
} RandomSource;

/* The sequence of a purpose; number tells those of one purpose apart. */
RandomSource random_source_of(uint64_t seed, const char *purpose, uint64_t number);
uint64_t random_source_next(RandomSource *random_source);
/* From least to most, both included; least when most is below it. */
int64_t random_source_span(RandomSource *random_source, int64_t least, int64_t most);
/* True in this percentage of draws. */
bool random_source_percent(RandomSource *random_source, int64_t percent);
/* About a mean: from a third of it to three times it, mostly near. */
int64_t random_source_about(RandomSource *random_source, int64_t mean);

#endif
