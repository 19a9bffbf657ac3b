#include "face/face.h"

#include <string.h>

const Face *faceFind(const char *name)
{
    for (const Face *const *face = FACES; *face != NULL; face++)
        if (strcmp((*face)->name, name) == 0)
            return *face;
    return NULL;
}

bool faceElsewhere(const FaceNode *node, HttpTask *task, bool back, const char **leader)
{
    return node->gate != NULL && gateElsewhere(node->gate, task, back, leader);
}

void faceTake(const FaceNode *node, HttpTask *task)
{
    if (node->core != NULL)
        core_take(node->core, task);
    else
        gateTake(node->gate, task);
}
