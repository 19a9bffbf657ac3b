#include "face/face.h"

#include <string.h>

const Face *face_find(const char *name)
{
    for (const Face *const *face = FACES; *face != NULL; face++)
        if (strcmp((*face)->name, name) == 0)
            return *face;
    return NULL;
}

bool face_elsewhere(const FaceNode *node, HttpTask *task, bool back, const char **leader)
{
    return node->gate != NULL && gate_elsewhere(node->gate, task, back, leader);
}

void face_take(const FaceNode *node, HttpTask *task)
{
    if (node->core != NULL)
        core_take(node->core, task);
    else
        gate_take(node->gate, task);
}
