#ifndef MODEL_DICE_H
#define MODEL_DICE_H

#include <stdbool.h>
#include <stdint.h>

/* Numbers drawn from a seed, apart from those that nodes draw: what is drawn for one
 * purpose changes nothing in another. */
typedef struct Dice {
    uint64_t state;
} Dice;

Dice dice_of(uint64_t seed, const char *purpose, uint64_t number);
uint64_t dice_next(Dice *dice);
/* From least to most, both possible. */
int64_t dice_span(Dice *dice, int64_t least, int64_t most);
bool dice_percent(Dice *dice, int64_t percent);
/* About a mean: from a third of it to three times it, mostly near. */
int64_t dice_about(Dice *dice, int64_t mean);

#endif
