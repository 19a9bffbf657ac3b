#ifndef MODEL_RANDOM_SOURCE_H
#define MODEL_RANDOM_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/* Numbers drawn from a seed, apart from those that nodes draw: what is drawn for one
 * purpose changes nothing in another. */
typedef struct RandomSource {
    uint64_t state;
} RandomSource;

RandomSource random_source_of(uint64_t seed, const char *purpose, uint64_t number);
uint64_t random_source_next(RandomSource *random_source);
/* From least to most, both possible. */
int64_t random_source_span(RandomSource *random_source, int64_t least, int64_t most);
bool random_source_percent(RandomSource *random_source, int64_t percent);
/* About a mean: from a third of it to three times it, mostly near. */
int64_t random_source_about(RandomSource *random_source, int64_t mean);

#endif
