#ifndef LOOP_SRC_FIBER_H
#define LOOP_SRC_FIBER_H

#include <stddef.h>

/* Declarations of the C functions of Boost.Context, whose own header is C++. They switch stacks without a system call;
 * swapcontext makes two for each switch. */

/* A suspended context (fcontext_t). */
typedef void *FiberContext;

/* The result of a switch (transfer_t). */
typedef struct FiberTransfer {
    FiberContext from; /* context of the code that switched here */
    void *data;        /* argument of the switch */
} FiberTransfer;

/* NOLINTBEGIN: the names are the library's */
FiberTransfer jump_fcontext(FiberContext to, void *data);
FiberContext make_fcontext(void *stack_top, size_t size, void (*fn)(FiberTransfer));
/* NOLINTEND */

#endif
