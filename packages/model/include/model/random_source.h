#ifndef MODEL_RANDOM_SOURCE_H
#define MODEL_RANDOM_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/* The random numbers of the model: one sequence for each purpose, derived from the seed, so that a change in one
 * sequence does not affect the others. */
typedef struct RandomSource {
    uint64_t state;
} RandomSource;

/* Returns the sequence of a purpose. number distinguishes sequences of the same purpose. */
RandomSource random_source_new(uint64_t seed, const char *purpose, uint64_t number);
/* Returns the next 64 random bits. */
uint64_t random_source_next(RandomSource *random_source);
/* Returns a number in [min, max]; min if max is below it. */
int64_t random_source_between(RandomSource *random_source, int64_t min, int64_t max);
/* Returns true with this probability, in percent. */
bool random_source_percent(RandomSource *random_source, int64_t percent);
/* Returns a number between about a third of the mean and three times it, usually near the mean. */
int64_t random_source_about(RandomSource *random_source, int64_t mean);

#endif
