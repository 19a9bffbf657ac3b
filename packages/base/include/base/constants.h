#ifndef BASE_CONSTANTS_H
#define BASE_CONSTANTS_H

/* Every constant of spancart, with its unit and its reason. Spans are counted
 * on CLOCK_BOOTTIME (or the simulator's clock), never on wall time. */

/* --- heartbeats and holds: the sum of the steps after a leader's death is
 * LOCK_LEASE + one proposal + one view change + AGENT_LEASE < 12 s ----------- */
#define HEARTBEAT_MS 500    /* ms; six heartbeats fit in an agent's lease, so five may be lost */
#define AGENT_LEASE_MS 3000 /* ms; a lost worker's claim lapses after this: "a few seconds at most" */
#define LOCK_GRANT_MS 1500  /* ms; a voter grants the lock for so long */
#define LOCK_LEASE_MS                                                                                                  \
    1440 /* ms; the holder counts on so much of it: its clock may be 2% slow and a voter's 2% quick; four renewals fit \
          */
#define LOCK_RENEW_MS 350 /* ms; a voter that takes appends renews with them */
#define LOCK_TELL_MS 1000 /* ms; a renewal also tells what appends do not: clock and holder's name */
#define PROPOSE_AGAIN_MS \
    60                 /* ms; a controller that did not win the lock stands again after this, then twice that ... */
#define PROPOSE_MS 500 /* ms; ... up to this, and a draw as long */
#define PROPOSE_TURN_MS \
    120 /* ms; each voter stands so much later than the one before it: a question and its answer take less */
#define HANDED_MS 600          /* ms; one that the last holder named is left alone for so long */
#define ORDER_LIFETIME_MS 2000 /* ms; an order older than this is refused by the agent */
#define ORDER_GONE_MS                                                                                   \
    (ORDER_LIFETIME_MS + ORDER_LIFETIME_MS / 50 + LEASE_SLACK_MS) /* ms; ... by a clock that is 2% slow \
                                                                   */
#define WORKER_POLL_MS 400 /* ms; a worker's question to its agent is held at most this long */
#define HEARTBEAT_WAIT_MS \
    450 /* ms; a heartbeat waits so long for orders: with the way there and back, one each HEARTBEAT_MS */
#define HEARTBEATS_MOST 4    /* count; an agent's heartbeats on their way at once: one waits, the others have news */
#define WORKER_QUIET_MS 1200 /* ms; a worker that has not asked for so long, and its poll, is given nothing new */
#define WORKER_BUSY_MS 50    /* ms; what has ended there waits no longer for an answer that is held back ... */
#define WORKER_AGAIN_MS \
    50 /* ms; ... and then an order waits so long for the next question: as long as the other costs least */
#define WORKER_LOST_MS 3000 /* ms; ... and has lost its attempts after this at the latest, once its lease has lapsed \
                             */
#define TELLING_MOST 500    /* count; news in one telling: a worker's longest list of ends */
#define NEWS_MOST 1000      /* count; news of attempts in one change */
#define NEWS_LAZY_MS 200    /* ms; that an attempt runs waits so long for other news to be committed with */
#define KNOWN_MOST 4096     /* count; ended attempts that an agent keeps for repair: two minutes of 34 a second */
#define BOOTS_KEPT 16       /* count; earlier boots of its worker that an agent tells from new ones */
#define COPY_SILENT_MS 1500 /* ms; work whose owner allows copies restarts when its worker is silent so long */
#define CLOCK_SLOW_PERCENT \
    2 /* percent; a worker's steady clock may be so much slow: holds passed on are so much shorter */
#define LEASE_SLACK_MS 50 /* ms; the leader adds this to its count of a lease: timer granularity */

/* --- asking ------------------------------------------------------------- */
#define ASK_TIMEOUT_MS 800     /* ms; a plain question between processes; shorter than a lock lease */
#define APPEND_TIMEOUT_MS 1500 /* ms; a voter that does not sync in this time leaves the view */
#define WATCH_MS 100           /* ms; the holder looks at its voters, and a voter for a holder, this often */
#define VOTER_LATE_MS                                                                                                \
    400 /* ms; a voter that has not synced by then leaves the view, when that can spare it: it costs nothing, and it \
           comes back as soon as it is quick */
#define DISK_MEND_MS 300   /* ms; a disk that refused a write is tried again this often */
#define VOTER_SLOW_MS 500  /* ms; a voter that takes longer to sync keeps every caller waiting ... */
#define VOTER_SLOW_TIMES 3 /* count; ... and leaves a view of three when it does so this often in a row */
#define POLL_GRACE_MS                                                                                               \
    60 /* ms; once a majority of voters has answered, the last ones have this long: who is late comes into the view \
          later */
#define ELECTION_STEP_TIMEOUT_MS 1200 /* ms; one step of a view change */
#define FETCH_WAIT_MS 900             /* ms; orders asked for without a heartbeat; less than half ORDER_LIFETIME_MS */
#define CONFIG_WATCH_WAIT_MS 2000     /* ms; configuration long poll between processes */
#define LEADER_WAIT_MS                                                                                              \
    150                  /* ms; from a leader's loss, what nobody can have taken waits so long for a way to another \
                          */
#define ELECTION_MS 3000 /* ms; another leader is normally found within this: callers are told to come back then */
#define FORWARD_DEADLINE_MS 8000 /* ms; an entry point gives a request up after this */
#define SUBMIT_TIMEOUT_MS 5000   /* ms; a change not committed in this time has an unknown outcome */
#define CONNECT_TIMEOUT_MS 600   /* ms; a connection that takes longer is as good as none */
#define LINE_UNHEARD_MS \
    4000 /* ms; a connection whose bytes nobody acknowledges for so long ends: its machine is cut off or gone */
#define LINE_QUIET_S 3 /* s; one that is silent for so long is probed: a machine that is cut off says nothing ... */
#define LINE_PROBE_S 1 /* s; ... this often ... */
#define LINE_PROBES 3  /* count; ... and ends after so many without an answer */
#define LINE_MISSES 2  /* count; questions unanswered in a row before a line is opened anew */
#define LINE_SILENT_MS \
    200 /* ms; a question that waits for so long when its peer has just started went to its last life */

/* --- membership --------------------------------------------------------- */
#define HELLO_MS 500            /* ms; between two exchanges of the member table */
#define HELLO_REST_MS 2000      /* ms; ... for one that the leader answers anyway; half of MEMBER_QUIET_MS */
#define MEMBER_QUIET_MS 4000    /* ms; a member not heard of for this long counts as quiet */
#define MEMBER_FORGET_MS 600000 /* ms; a quiet member is dropped from the table: ten minutes of absence */
#define SIGHT_MS 2000           /* ms; a controller asks every member once in this; what answers it is its sight */
#define SIGHT_MARGIN 3          /* count; a voter that sees so many more than the leader is the better one ... */
#define SIGHT_HAND_MS 2000      /* ms; ... when it has been so for this long */
#define MEMBERS_MAX 512         /* count; bound on a table told by a peer: ten times today's sizes */
#define FOUND_WAIT_MS 1500      /* ms; three empty disks must see each other for this long before founding */
#define VOTE_WAIT_MS \
    600 /* ms; a controller stands as the founder so long after its start: those started with it have been heard of */
#define MEMBERSHIP_LOOK_MS 200 /* ms; the leader looks so often whether a change of membership is due */
#define MEMBERSHIP_SOON_MS                                                                                     \
    30                 /* ms; ... and so often while a learner is not ready yet, or one change follows another \
                        */
#define LEARNER_MOST 4 /* count; controllers without a vote that follow the log at a time: each costs a copy of it */
#define LEARNER_APPEND_MS 100 /* ms; a learner takes what has come within this in one append: nobody waits for it */
#define VOTE_LEAVE_PART \
    2 /* count; a voter that is told to end waits for this part of its grace span that its vote is another's */
#define LEARNER_LATE_MS \
    2500                   /* ms; a learner that is not ready by then makes way for another: megabytes take a second */
#define VOTER_REST_MS 1000 /* ms; a voter that left the view for being late is out for so long at least */
#define VOTER_LOST_REST_MS \
    5000                    /* ms; a controller that was told that its voter is another's does not stand for so long */
#define VOTER_GONE_MS 15000 /* ms; where the settings do not say how soon a loss is made good */
#define VOTER_SILENT_PART \
    2 /* count; a voter silent for this part of that span is replaced: the other part is for the change itself */

/* --- log and disk -------------------------------------------------------- */
#define LOG_SNAPSHOT_ENTRIES 4000 /* count; the journal is rewritten after this many entries */
#define LOG_SNAPSHOT_BYTES \
    (8 * 1024 * 1024) /* bytes; ... or after so many: some 25 large configurations; sent in half a second */
#define SNAPSHOT_MAX_BYTES \
    (48 * 1024 * 1024) /* bytes; a larger state is not shortened to a snapshot: memory would not hold both */
#define FILL_WHOLE_BYTES (2 * 1024 * 1024) /* bytes; a snapshot up to this is sent at once ... */
#define FILL_PIECE_BYTES (1024 * 1024)     /* bytes; ... a larger one in pieces: 40 ms each at 200 Mbit/s */
#define LOG_BATCH_BYTES (512 * 1024)       /* bytes; one append carries at most this much */
#define LOG_BATCH_ENTRIES 256              /* count; likewise */
#define LOG_WRITE_BYTES (16 * 1024 * 1024) /* bytes; one write of the holder to its own journal */
#define LOG_BACK_STEP 64 /* count; a voter whose log differs is asked again from so many entries earlier */
#define RECORD_MAX_BYTES (64 * 1024 * 1024) /* bytes; a journal record larger than this is corruption */
#define JOURNAL_OPEN_MS 3000                /* ms; a disk that refuses writes at the start is tried again for so long */
#define JOURNAL_BAD_BYTES \
    (16 * 1024 * 1024)       /* bytes; a journal that is not whole is kept beside the new one when it is smaller */
#define HISTORY_TOLD_MS 1000 /* ms; orders to drop what is committed are told in the log at most so often */
#define WOKEN_WAIT_MS                                                                                                 \
    3000 /* ms; a view resting on woken voters waits this long for the last view's members: a process starts in less, \
            and the steps after it must end within 12 s */
#define REPAIR_MS 1500 /* ms; those who were told first have this long to tell again */
#define REPAIR_HEAR_MS                                                                                                 \
    (LINE_MISSES * ASK_TIMEOUT_MS + 2 * HELLO_MS) /* ms; a process that has just started asks nobody before: a line to \
                                                    its last life is given up and opened anew within this */
#define KEEP_ASK_MS 100 /* ms; an entry point that lives keeps at once; a caller waits for it meanwhile */
#define REPAIR_BUFFER_BYTES_MAX \
    (4 * 1024 * 1024)           /* bytes; of what one node keeps for repair: some 5,000 jobs; memory is priced */
#define REPAIR_KEEP_MS 120000   /* ms; how long entry points and agents keep what they were told, for repair */
#define SLOW_DISK_REST_MS 10000 /* ms; a leader that handed over for its slow disk does not propose for this long */

/* --- jobs ----------------------------------------------------------------- */
#define JOB_KEEP_MS 3600000 /* ms; an ended job is kept an hour: an id resent inside it still counts once */
#define FORGET_MS 1000      /* ms; jobs that are kept no longer are dropped at most so often: a change each */
#define JOB_TASKS_MAX 10000 /* count; tasks in one job */
#define JOB_STEPS_MAX 64    /* count; steps in one job */
#define JOB_SPAN_MAX_MS (INT64_C(366) * 24 * 3600 * 1000) /* ms; a year: a job's longer spans are mistakes */
#define JOB_BODY_MAX (256 * 1024)                         /* bytes; one job's JSON */
#define CONFIG_BODY_MAX \
    (2 * 1024 * 1024) /* bytes; one configuration's JSON: some 5,000 queues, 0.15 s of a controller to check */
#define CONFIG_LARGE_BYTES \
    (32 * 1024) /* bytes; a larger one is not carried through an entry point: 130 ms of a 2 Mbit/s link, each way */
#define CONFIG_NOTE_MAX (64 * 1024)           /* bytes; an operator's note on a queue, a kind, or the whole */
#define CONFIG_PATH_MAX 1024                  /* bytes; a host, a prefix, a path: longer ones are mistakes */
#define CONFIG_SPAN_MAX_MS 1000000000         /* ms; eleven days: longer ones are mistakes */
#define CONFIG_BYTES_MAX (1024 * 1024 * 1024) /* bytes; a larger limit is a mistake */
#define CONFIG_STRETCH_MAX 1000               /* times; a larger stretch is a mistake */
#define CONFIG_HISTORY 200                    /* count; versions that can be read back, as far as the bytes allow */
#define CONFIG_KNOWN                                                                                             \
    1000 /* count; versions whose calls are known when they are sent again: some 100 bytes each; changes come at \
            most some ten a second, and an operator gives up sooner than after 100 s */
#define CONFIG_HISTORY_STEP 50             /* count; ... older ones go by so many at once */
#define CONFIG_HISTORY_BYTES (1024 * 1024) /* bytes; texts and patches kept beside one whole text */
#define ID_MAX 96                          /* bytes; a job's, tenant's, worker's name */
#define ATTEMPTS_DEFAULT 3                 /* count; attempts a failing task gets unless its owner says */
#define ATTEMPTS_MAX 100                   /* count */
#define QUEUE_LIMIT_DEFAULT 20000          /* count; waiting tasks in one cell's queues before 503 */
#define ASSURE_WAIT_MS 2000 /* ms; a protected start that breaks the plan waits this long, then runs unassured */
#define PLACE_TICK_MS 250   /* ms; the planner looks again this often even without news */
#define MEND_MS 1000        /* ms; gangs that a loss of disks has split are looked for so often */
#define PLACE_BATCH 128     /* count; starts decided in one change */
#define ATTEMPTS_FORGOTTEN_MAX \
    10000 /* count; attempts of a task that disks may have forgotten; a number further on is a mistake */
#define FAILED_REST_MS                                                                                        \
    50 /* ms; a failed task rests this long, doubled with each miss: targets are a second or two, and it goes \
        * elsewhere                                                                                           \
        */
#define FAILED_REST_MAX_MS 8000 /* ms */
#define REFUSED_REST_MS                                                                               \
    200 /* ms; one that was refused: what its worker has is better known after a heartbeat or a start \
         */
#define LASTING_STEADY_MS 5000   /* ms; a lasting task that ran so long had not failed at once */
#define LASTING_REST_MAX_MS 2000 /* ms; one that fails at once, again and again, rests at most so long */
#define LIST_PAGE 100            /* count; jobs on one page */
#define LIST_PAGE_MAX 1000       /* count */
#define ROOM_MAX 100000000ULL    /* milli-CPU or MB; larger numbers are mistakes */

/* --- targets and estimates ------------------------------------------------------------ */
#define PACE_FIRST_MS 700      /* ms; a running attempt's progress is told first after this, a short task's never */
#define ESTIMATE_KEPT 32       /* count; ratios that a median is taken of: what is older says little */
#define ESTIMATE_LEAST 5       /* count; ends before a step's estimate is corrected */
#define ESTIMATE_FRESH_KEPT 9  /* count; as ESTIMATE_KEPT; fewer, since a worker turns slow within seconds ... */
#define ESTIMATE_FRESH_LEAST 3 /* count; ... and fewer than these say nothing */
#define ESTIMATE_FRESH_MS 4000 /* ms; what a worker did before this says nothing of a slow spell: those are as short \
                                */
#define ESTIMATE_POOL 64       /* count; ratios of all workers: enough that one of them does not decide */
#define ESTIMATE_RATIO_MOST 20000 /* thousandths; a worker that much slower stands still */
#define ESTIMATE_SPEED_LEAST 600  /* thousandths; workers differ by a quarter either way; ... */
#define ESTIMATE_SPEED_MOST 1700  /* ... with estimates off by up to half, beyond this it is a slow spell */
#define STILL_PERCENT 15    /* percent; an attempt that did nothing while so much of its work was due stands still */
#define STILL_LEAST_MS 1000 /* ms; ... and this long: what goes on from what was saved begins with a pause */
#define PACE_CREDIT 16      /* count; words of progress before no progress is believed: some workers tell none */
#define STOP_LOOK_MS 200    /* ms; between two looks for attempts that go on better elsewhere */
#define SLOW_GAIN 2.5       /* 1; an attempt is begun anew elsewhere when that takes so many times less ... */
#define SLOW_COST_MS 1000   /* ms; ... and this much besides: stopping, starting, and what is thrown away */
#define LEAVE_LAST_MS                                                                                                  \
    1500                    /* ms; what a leaving worker has is stopped this long before, so that it is saved and told \
                             */
#define LEAVE_START_MS 300  /* ms; an order that a leaving worker has not begun by then is taken back */
#define LEAVE_STOPS_MOST 32 /* count; attempts taken off leaving workers by one look */
#define STOPS_MOST 4        /* count; attempts begun anew elsewhere by one look */
#define SLOW_ATTEMPTS_MOST 5 /* count; a task that has had so many attempts is left where it is */
#define TARGET_LATE_TIMES 3  /* count; until so many times its target a job is still worth something */
#define TARGET_DOUBT_PERCENT \
    25 /* percent of the work left; a target missed by less may still be met: estimates are off by up to half */
#define TARGET_LOOK_MS 2000 /* ms; a target that is so much farther off weighs 2.7 times less: about one task's time \
                             */
#define TARGET_PRIORITY_RANK 1.4 /* 1; a queue's step of priority weighs 4 times more */
#define TARGET_BEGUN_RANK \
    1.0 /* 1; a job that is nearly done weighs so much more than one not begun: its room is well spent */
#define TARGET_LATE_RANK (-1.5)    /* 1; what is late is worth a fifth */
#define TARGET_LOST_RANK (-1000.0) /* 1; what is worth nothing goes last */
#define TARGET_BAND 4.0            /* in 1; ranks closer than a part of this size count as equal: tenants take turns */
#define TARGET_WAVE_PART 4         /* a step wider than this part of the fleet counts in waves */

/* --- scores of workers that claim health ---------------------------------------- */
#define SCORE_WEIGHT 25          /* percent; what the newest round counts in a worker's rate of failures */
#define SCORE_REST 60            /* percent; above this rate, with SCORE_JOBS, a worker is given nothing for a while */
#define SCORE_JOBS 3             /* count; of different jobs in a row that failed there: one bad job is no bad worker */
#define SCORE_REST_MS 10000      /* ms; the first rest, doubled each time ... */
#define SCORE_REST_MAX_MS 300000 /* ms; ... up to this */
#define SCORE_FADE_MS 10000      /* ms; a rate that nothing renews halves in this, so that all are tried again */
#define SCORE_SHARE 4            /* of the fleet's workers at most one in so many rests at once */

#define SLOW_WEIGHT                                                                                                   \
    50                /* percent; what a slow round counts: attempts beside each other are one sign, so signs are few \
                       */
#define SLOW_SIGNS 2  /* count; of different jobs, before a worker counts as slow at all */
#define SLOW_TIMES 3  /* count; an attempt that takes so many times its step's median is a slow one */
#define SLOW_OTHERS 4 /* count; other attempts of the step that a median needs */
#define SLOW_OTHERS_MOST 64 /* count; ... and more than this are not looked at: a step may have thousands */
#define SLOW_LEAST_MS 200   /* ms; a median below this says nothing: the way there and back is as long */

/* --- planner --------------------------------------------------------------- */
#define PLAN_EXHAUSTIVE_MAX 400 /* count; loss sequences walked one by one; above it the cheap bound */
#define PLAN_R_MAX 4            /* count; worker losses a plan may be asked to survive */

#define PLAN_LOOK_MS 1000 /* ms; where no loss is to be survived, the plan is looked at this often, to be shown */
#define CHOOSE_TIME 2    /* 1; a worker that takes as much longer must have so many times more room free to be chosen */
#define CHOOSE_GPU 500   /* thousandths of a worker; what a GPU in reach costs work that needs none */
#define FAR_WAIT_MS 1500 /* ms; work waits at most so long for room near its data: half of what may stand still */

/* --- room kept for big work ------------------------------------------------------ */
#define RESERVE_SLACK_MS 3000      /* ms; what must be under way within this has room that falls free kept for it */
#define RESERVE_SHARE 3            /* of the fleet's room at most one part in so many */
#define KEEP_WAIT_MS 10000         /* ms; what fits a whole worker and no gap for so long has one kept for it */
#define KEEP_LEAST_MS 300          /* ms; ... of a job with a target after an eighth of its span, but not before this */
#define KEEP_SHARE 4               /* of the fleet's workers at most one in so many is kept at once */
#define ZONE_ORDERS_MAX 16         /* count; orders for a zone that are known when they are sent again */
#define RESERVATION_MEMBERS_MAX 64 /* count; workers kept for one gang */

/* --- policies ---------------------------------------------------------------- */
#define LUA_STEPS_MAX 20000        /* count; instructions of one call: some 0.2 ms */
#define LUA_STEPS_TICK 100         /* count; they are counted by so many */
#define LUA_BYTES_MAX (512 * 1024) /* bytes; what one policy may hold */
#define STOP_TAKES_MS 300          /* ms; a stop is heard with the worker's next report, takes a moment, and is told */
#define ENDS_LEAST_MS 50           /* ms; nothing that runs is expected to end sooner */
#define PREEMPT_TAKES_MS 600       /* ms; from a push until the room is used: a stop, and a start */
#define PREEMPT_SLACK_MS 900       /* ms; what must be under way within this may push: it takes most of it */
#define PREEMPT_COST 2             /* 1; a push throws away at most so many times the work that it makes room for */
#define PREEMPT_VICTIMS_MOST 4     /* count; attempts pushed aside for one task */
#define PREEMPT_GAP_MS 100         /* ms; between two looks at whom to push */
#define PREEMPT_TASKS_MAX 32       /* count; running tasks looked at for one that wants room */

/* --- process ---------------------------------------------------------------- */
#define TASK_STACK_BYTES (192 * 1024) /* bytes; JSON and printf fit with room to spare, also under ASan */
#define TASK_STACKS_KEPT 24 /* count; stacks of ended tasks kept for the next: a burst beyond it pays for its own */
#define FRAME_MAX_BYTES (32 * 1024 * 1024)     /* bytes; a snapshot fits */
#define CHANNEL_QUEUE_BYTES (96 * 1024 * 1024) /* bytes; more unsent than this ends the connection */
#define CHANNEL_KEEP_BYTES (32 * 1024)         /* bytes; a buffer that grew larger for one frame is given back */
#define CHANNEL_QUEUE_FRAMES 4096              /* count; more unread than this ends the connection */
#define HTTP_BODY_MAX (2 * 1024 * 1024)        /* bytes */
#define HTTP_HEAD_MAX (32 * 1024) /* bytes; of a request, with its path: far more than any caller of ours sends */
#define HTTP_HEAD_MS 5000       /* ms; a head that has begun is whole within this: callers stand in the same network */
#define HTTP_IDLE_MS 60000      /* ms; a caller's connection without a request is closed after this */
#define HTTP_TASKS_MAX 2048     /* count; requests in work in one process; more are told to come back */
#define TRACE_EVENTS 2048       /* count; steps of changes that a node remembers: minutes at today's loads */
#define RECORDER_LINES 256      /* count; the log ring */
#define RECORDER_LINE_BYTES 200 /* bytes */
#define RECORDER_NOTES_AT_ONCE 20 /* count; notes that are written together, so that a change of leader is told whole \
                                   */
#define RECORDER_NOTE_GAP_MS 500  /* ms; after those, one note is written for each: a line costs processor time */
#define RETRY_AFTER_S 1           /* s; told with a 503: another entry point, or the same in a moment, will do */
#define RETRY_ELECTION_S 2        /* s; ... when no leader serves: one is found again in 2 to 3 s */
#define RETRY_CROWD_S 5           /* s; ... when too much waits: some of it has run by then */
#define DRAIN_MS 3000             /* ms; SIGTERM: not ready at once, gone after this at the latest */
#define DRAIN_MARGIN_MS 100       /* ms; ... less this, to end in */
#define DRAIN_LOOK_MS 10          /* ms; whether the last request has been answered */

/* --- formats ------------------------------------------------------------------ */
#define WIRE_VERSION 1    /* the version of frames; peers ignore trailing fields they do not know */
#define JOURNAL_VERSION 1 /* the version of journal records */

#endif
