#ifndef LOOP_SRC_FIBER_H
#define LOOP_SRC_FIBER_H

#include <stddef.h>

/* The C functions of Boost.Context, whose own header is C++. They switch stacks without a system call; swapcontext
 * makes two for each switch. */
typedef void *FiberPlace;

typedef struct FiberTurn {
    FiberPlace from; /* where the code that switched here continues */
    void *data;
} FiberTurn;

/* NOLINTBEGIN: the names are the library's */
FiberTurn jump_fcontext(FiberPlace to, void *data);
FiberPlace make_fcontext(void *stack_top, size_t size, void (*fn)(FiberTurn));
/* NOLINTEND */

#endif
