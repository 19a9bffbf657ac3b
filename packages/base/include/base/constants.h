#ifndef BASE_CONSTANTS_H
#define BASE_CONSTANTS_H

/* Every constant of spancart, with its unit and its reason. Spans are counted on
 * CLOCK_BOOTTIME (or the simulator's clock), never on wall time. A comment that begins
 * with "..." goes on from the one before. Some are defaults of settings (settings/cluster_settings.h). */

/* --- heartbeats and leases -------------------------------------------------------------------
 * The steps after a leader's death add up to LOCK_GRANT_MS, one election, one view change and
 * AGENT_LEASE_MS; the sum is below 12 s (docs/ha.md). */
#define HEARTBEAT_MS 500    /* ms; between an agent's heartbeats; six fit in its lease, so five may be lost */
#define AGENT_LEASE_MS 3000 /* ms; an agent's lease: a lost worker's runs out after this, "a few seconds at most" */
#define LOCK_GRANT_MS 1500  /* ms; a voter grants the leader's lease for this long */
/* ms; ... or, where renewals take no time and nothing stands still, for so much longer than they take */
#define LOCK_GRANT_LEAST_MS 700
#define LOCK_LEASE_MS 1440  /* ms; the leader relies on so much of it: its clock may be 2% slow, a voter's 2% fast */
#define LOCK_RENEW_MS 350   /* ms; between renewals; four fit in a lease; a voter that takes appends renews with them */
#define LOCK_NOTIFY_MS 1000 /* ms; between renewals that carry what appends do not: clock and leader's name */
/* ms; after a lost election a controller proposes itself again, next after twice this ... */
#define PROPOSE_AGAIN_MS 60
#define ELECTION_LOST_LOG_MS 5000 /* ms; between two lines about elections that are not won */
#define PROPOSE_MS 500            /* ms; ... up to this, plus a random part as long */
#define PROPOSE_TURN_MS 120    /* ms; each voter proposes itself so much after the one before it: over a round trip */
#define HANDED_MS 600          /* ms; the others leave this long to the successor that the last leader named */
#define ORDER_LIFETIME_MS 2000 /* ms; deadline of an order: an agent refuses an older one */
/* ms; ... by any clock, also one that is 2% slow */
#define ORDER_GONE_MS (ORDER_LIFETIME_MS + ORDER_LIFETIME_MS / 50 + LEASE_SLACK_MS)
/* ms; a worker whose agent owes its next heartbeat for longer than usual, and for this long, gets no new work: a lost
 * datagram or a turn of a busy process takes less */
#define OVERDUE_LEAST_MS 150
#define OVERDUE_SHARE 2 /* of the workers; more overdue at once than one in so many: it is the leader that paused */
/* ms; a worker that owes its next report for longer than usual, and for this long, is silent: a busy one was seen to
 * take 300 ms now and then */
#define WORKER_OVERDUE_MS 400
#define WORKER_POLL_MS 400 /* ms; an agent holds its worker's poll open at most this long */
#define HEARTBEAT_WAIT_MS \
    450 /* ms; a heartbeat is held open so long for orders: with the round trip, one per HEARTBEAT_MS */
#define HEARTBEATS_MOST 4 /* count; an agent's heartbeats in flight: one waits for orders, the others carry updates */
#define WORKER_QUIET_MS 1200 /* ms; a worker that has not asked for this long, and its poll, gets no new work */
#define WORKER_BUSY_MS 50   /* ms; a poll that reports ends is held so long: the next report waits for its answer ... */
#define WORKER_AGAIN_MS 50  /* ms; ... and an order waits so long for the next poll, which costs about as much */
#define WORKER_LOST_MS 3000 /* ms; a silent worker's attempts are lost by then, once its lease has run out */
#define TELLING_MOST 500    /* count; updates in one report of an agent: a worker's longest list of ends */
#define UPDATE_MOST 1000    /* count; updates on attempts in one change */
#define UPDATE_LAZY_MS 200  /* ms; the update that an attempt runs waits this long to be committed with others */
#define KNOWN_MOST 4096     /* count; ended attempts that an agent keeps for repair: two minutes at 34 a second */
#define BOOTS_MOST 16       /* count; earlier starts of its worker that an agent recognises */
#define COPY_SILENT_MS 1500 /* ms; work whose owner allows copies restarts when its worker is silent so long */
#define CLOCK_SLOW_PERCENT 2 /* percent; a worker's steady clock may be so slow: leases passed on are shorter */
#define LEASE_SLACK_MS 50    /* ms; added by the leader to its count of a lease: granularity of timers */

/* --- questions between processes ------------------------------------------------------------- */
#define ASK_TIMEOUT_MS 800      /* ms; deadline of a plain question; shorter than the leader's lease */
#define APPEND_TIMEOUT_MS 1500  /* ms; a voter that does not sync an append in this time leaves the view */
#define WATCH_MS 100            /* ms; how often the leader checks its voters, and a voter whether there is a leader */
#define VOTER_LATE_MS 400       /* ms; a voter that has not synced by then leaves the view if the others suffice */
#define DISK_RETRY_MS 300       /* ms; between attempts to write to a disk that refused a write ... */
#define DISK_RETRY_MOST_MS 2500 /* ms; ... doubled up to this while it fails: a loss may be over within 4 s */
#define DISK_WELL_MS 10000      /* ms; a disk that has taken writes for so long is well */
#define VOTER_SLOW_MS 500       /* ms; a voter that takes longer to sync delays every caller ... */
#define VOTER_SLOW_TIMES 3      /* count; ... and leaves a view of three when it does so this often in a row */
#define POLL_GRACE_MS 60 /* ms; once a majority has answered the others have this long: later ones join afterwards */
#define ELECTION_STEP_TIMEOUT_MS 1200 /* ms; deadline of one step of an election */
#define FETCH_WAIT_MS 900             /* ms; a question for orders alone is held so long; below ORDER_LIFETIME_MS / 2 */
#define CONFIG_WATCH_WAIT_MS 2000     /* ms; an entry point's question for a new configuration is held open this long */
#define LEADER_WAIT_MS 150 /* ms; from a leader's loss, a request that nobody took waits so long for another route */
#define ELECTION_MS 3000   /* ms; a new leader is normally found within this */
#define ELECTION_USUAL_MS \
    1000                   /* ms; how long that is expected to take until it has been seen: then callers come back */
#define PAUSE_LEAST_MS 500 /* ms; a process that stood still so long reads requests whose callers may have gone on */
#define PAUSE_AFTER_MS 200 /* ms; ... for so long after it goes on: all that has arrived meanwhile is read by then */
#define FORWARD_DEADLINE_MS 8000 /* ms; an entry point gives a request up after this */
#define SUBMIT_TIMEOUT_MS 5000   /* ms; a change that is not committed in this time has an unknown outcome */
#define CONNECT_TIMEOUT_MS 600   /* ms; a connection that takes longer to open has failed */
#define CONNECTION_UNHEARD_MS                                                              \
    4000 /* ms; a connection without acknowledgements so long ends: its machine is cut off \
          */
#define CONNECTION_QUIET_S \
    3 /* s; a connection idle for so long is probed: a machine that is cut off says nothing ... */
#define CONNECTION_PROBE_S 1 /* s; ... this often ... */
#define CONNECTION_PROBES 3  /* count; ... and ends after so many probes without an answer */
#define CONNECTION_MISSES 2  /* count; unanswered questions in a row before a connection is opened anew */
#define CONNECTION_SILENT_MS \
    200 /* ms; a request unanswered so long by a peer that just restarted went to its last incarnation */

/* --- membership ------------------------------------------------------------------------------ */
#define HELLO_MS 500            /* ms; between two hellos of one that seeks the others */
#define HELLO_REST_MS 2000      /* ms; ... of one that a controller contacts anyway; half of MEMBER_QUIET_MS */
#define SEED_REST_MS 10000      /* ms; ... to each seed: only in case the controllers were replaced unseen */
#define MEMBER_QUIET_MS 4000    /* ms; a member not heard of for this long counts as silent */
#define MEMBER_FORGET_MS 600000 /* ms; a silent member is dropped from the table: ten minutes of absence */
#define REACH_MS 2000           /* ms; a controller asks every member once in this; those that answer it can reach */
/* count; ... with so many attempts: the third is answered before the member counts as silent */
#define HELLO_ATTEMPTS 3
#define REACH_MARGIN 3          /* count; a voter that reaches so many more members is the better leader ... */
#define REACH_HANDOVER_MS 2000  /* ms; ... when it has been so for this long */
#define QUIET_CONTACT_MS 60000  /* ms; a quiet member is contacted as often as the others for so long: cuts heal ... */
#define QUIET_CONTACT_PART 8    /* count; ... then once in so many rounds */
#define MEMBERS_MAX 512         /* count; bound on the rows of a table ... */
#define CONTROLLERS_MAX 64      /* count; ... besides which so many of controllers find room in a full one */
#define VIEW_MOST 16            /* count; members in a partial view, besides the controllers ... */
#define VIEW_FORGET_MS 60000    /* ms; ... unless silent for so long */
#define VIEW_SAMPLE 3           /* count; ... of which a controller names so many in each request to it */
#define ASKED_KEEP_MS 10000     /* ms; a seed keeps one that asked it for so long: controllers hear of it meanwhile */
#define FOUND_WAIT_MS 1500      /* ms; three empty disks must see each other so long before they found a cluster */
#define VOTE_WAIT_MS 600        /* ms; a founder proposes itself so long after its start: others have started by then */
#define MEMBERSHIP_CHECK_MS 200 /* ms; how often the leader checks whether a change of the list of voters is due */
#define MEMBERSHIP_SOON_MS 30   /* ms; ... and while a learner is not ready yet, or one change follows another */
#define LEARNER_MOST 4          /* count; learners that follow the log at a time: each costs a copy of it */
#define LEARNER_APPEND_MS 100   /* ms; a learner gets what has come within this in one append: nobody waits for it */
#define VOTE_SETTLE_MS 700   /* ms; two renewals: within this a learner that leaves hears that it was given the vote */
#define VOTE_LEAVE_PART 2    /* count; of its grace period a leaving voter waits 1 in so many for its vote to pass on */
#define LEARNER_LATE_MS 2500 /* ms; a learner not ready by then makes way for another: megabytes take a second */
#define VOTER_REST_MS 1000   /* ms; a voter that left the view for being late stays out at least this long */
#define VOTER_LOST_REST_MS 5000 /* ms; a controller that is no voter any more does not propose itself so long */
#define VOTER_REPLACE_MS 15000  /* ms; a lost voter is replaced within this where the settings do not say */
#define VOTER_SILENT_PART 2 /* count; ... after 1 in so many of it a silent voter is replaced: that takes the rest */

/* --- log and disk ---------------------------------------------------------------------------- */
#define LOG_SNAPSHOT_ENTRIES 4000             /* count; the journal is rewritten as a snapshot after so many entries */
#define LOG_SNAPSHOT_BYTES (8 * 1024 * 1024)  /* bytes; ... or so many: some 25 large configurations; sent in 0.5 s */
#define SNAPSHOT_MAX_BYTES (48 * 1024 * 1024) /* bytes; no snapshot of a larger state: memory would not hold both */
#define STATE_FULL_BYTES \
    (40 * 1024 * 1024)        /* bytes; from this on no job is taken: the rest is for what the accepted ones add */
#define STATE_SHRINK_MS 10000 /* ms; a full state is measured again at most this often: it is written out for that */
#define SNAPSHOT_WHOLE_BYTES (2 * 1024 * 1024) /* bytes; a snapshot up to this is sent at once ... */
#define SNAPSHOT_PIECE_BYTES (1024 * 1024)     /* bytes; ... a larger one in pieces: 40 ms each at 200 Mbit/s */
#define LOG_BATCH_BYTES (512 * 1024)           /* bytes; most in one append */
#define LOG_BATCH_ENTRIES 256                  /* count; most in one append */
#define LOG_WRITE_BYTES (16 * 1024 * 1024)     /* bytes; most in one write of the leader to its own journal */
#define LOG_BACK_STEP 64 /* count; a voter whose log differs is asked again from so many entries earlier */
#define RECORD_MAX_BYTES (64 * 1024 * 1024) /* bytes; a journal record larger than this is corruption */
#define JOURNAL_HINT_MS 1000 /* ms; after a sync it is written down how much was synced: a write more in a second */
#define JOURNAL_OPEN_MS 3000 /* ms; a disk that refuses writes at the start is tried again for this long */
#define JOURNAL_BAD_BYTES (16 * 1024 * 1024) /* bytes; a smaller broken journal is kept beside the new one */
#define HISTORY_NOTIFIED_MS 1000             /* ms; orders to drop committed entries are logged at most this often */
#define RESTARTED_WAIT_MS                                                                                    \
    3000               /* ms; restarted voters wait so long for others: every step together must end in 12 s \
                        */
#define REPAIR_MS 1500 /* ms; processes that have what the disks lost have this long to send it again */
/* ms; a leader that has just started repairs no sooner: until then connections of others to
 * its previous life may be silent */
#define REPAIR_HEAR_MS (CONNECTION_MISSES * ASK_TIMEOUT_MS + 2 * HELLO_MS)
#define REPAIR_COPIES 2 /* count; entry points, in different zones, that keep a change for repair */
#define KEEP_ASK_MS 100 /* ms; deadline for an entry point to keep a change for repair; a caller waits meanwhile */
#define REPAIR_BUFFER_BYTES_MAX \
    (4 * 1024 * 1024)            /* bytes; one node keeps for repair: some 5,000 jobs; memory is priced */
#define REPAIR_KEEP_MS 120000    /* ms; how long entry points and agents keep acknowledged changes for repair */
#define OUTREACHED_REST_MS 10000 /* ms; a leader that reached few members does not stand so long: another leads */

/* --- jobs ------------------------------------------------------------------------------------ */
#define JOB_KEEP_MS 3600000 /* ms; an ended job is kept an hour: an id sent again within it still counts once */
#define FORGET_MS 1000      /* ms; ... and dropped with others at most this often: each time costs a change */
#define JOB_TASKS_MAX 10000 /* count; tasks in one job */
#define JOB_STEPS_MAX 64    /* count; steps in one job: a bit for each fits in 64 */
#define JOB_SPAN_MAX_MS (INT64_C(366) * 24 * 3600 * 1000) /* ms; a year: longer spans in a job are mistakes */
#define JOB_BODY_MAX (256 * 1024)                         /* bytes; one job's JSON */
#define CONFIG_BODY_MAX \
    (2 * 1024 * 1024) /* bytes; one configuration: some 5,000 queues, 0.15 s of a controller to check */
#define CONFIG_LARGE_BYTES (32 * 1024) /* bytes; a larger one is not forwarded: 130 ms of a 2 Mbit/s link, each way */
#define CONFIG_NOTE_MAX (64 * 1024)    /* bytes; an operator's note on a queue, a kind, or the whole */
#define CONFIG_PATH_MAX 1024           /* bytes; a host, a prefix, a path: longer ones are mistakes */
#define CONFIG_KEY_MAX 256             /* bytes; of a tenant's key: longer ones are mistakes */
#define CONFIG_WEIGHT_MAX 1000000      /* times; a larger weight of a tenant is a mistake */
#define CONFIG_SPAN_MAX_MS 1000000000  /* ms; eleven days: longer ones are mistakes */
#define CONFIG_BYTES_MAX (1024 * 1024 * 1024) /* bytes; a larger limit is a mistake */
#define CONFIG_STRETCH_MAX 1000               /* times; a larger stretch is a mistake */
#define CONFIG_HISTORY 200                    /* count; versions that can be read back, as far as the bytes allow */
#define CONFIG_KNOWN 1000      /* count; versions whose calls are recognised again: ten a second for 100 s */
#define CONFIG_HISTORY_STEP 50 /* count; ... older ones are dropped so many at a time */
#define CONFIG_HISTORY_BYTES (1024 * 1024) /* bytes; texts and patches kept beside one whole text */
#define ID_MAX 96                          /* bytes; a job's, tenant's or worker's name */
#define ATTEMPTS_DEFAULT 3                 /* count; failed attempts that fail a task, unless its owner says */
#define ATTEMPTS_MAX 100                   /* count; ... at most; chosen, not measured */
#define QUEUE_LIMIT_DEFAULT 20000          /* count; waiting tasks in one cell's queues before 503 */
#define ASSURE_WAIT_MS 2000          /* ms; a protected start that breaks the plan waits so long, then runs unassured */
#define PLACE_TICK_MS 250            /* ms; the planner makes a pass this often even when nothing has changed */
#define GANGS_REPAIR_MS 1000         /* ms; how often gangs that a loss of disks has split are looked for */
#define PLACE_BATCH 128              /* count; starts decided in one change */
#define ATTEMPTS_FORGOTTEN_MAX 10000 /* count; attempts that disks may have lost; a higher number is a mistake */
#define FAILED_REST_MS 50 /* ms; rest of a failed task, doubled with each: targets are 1 or 2 s, it goes elsewhere */
#define FAILED_REST_MAX_MS 8000    /* ms; ... up to this; chosen, not measured */
#define REFUSED_REST_MS 200        /* ms; rest of a refused task: a heartbeat or a start tells more of its worker */
#define LASTING_STEADY_MS 5000     /* ms; a lasting task that ran this long had not failed at once */
#define LASTING_REST_MAX_MS 2000   /* ms; one that fails at once, again and again, rests at most this long */
#define LIST_PAGE 100              /* count; jobs on one page of a list; chosen, not measured */
#define LIST_PAGE_MAX 1000         /* count; ... at most */
#define RESOURCES_MAX 100000000ULL /* milli-CPU, MB or count; larger numbers are mistakes */

/* --- latency targets and estimates ----------------------------------------------------------- */
#define PACE_FIRST_MS 700  /* ms; a running attempt's progress is first reported after this, a short task's never */
#define ESTIMATE_RATIOS 32 /* count; ratios that a median is taken of: older ones say little */
#define ESTIMATE_LEAST 5   /* count; ends before a step's estimate is corrected */
#define ESTIMATE_FRESH_RATIOS 9 /* count; as ESTIMATE_RATIOS; fewer, since a worker turns slow within seconds ... */
#define ESTIMATE_FRESH_LEAST 3  /* count; ... and fewer than these say nothing */
#define ESTIMATE_FRESH_MS                                                                                      \
    4000                 /* ms; what a worker did before this says nothing of a slow spell: those are as short \
                          */
#define ESTIMATE_POOL 64 /* count; ratios of all workers: enough that one of them does not decide */
#define ESTIMATE_RATIO_MOST 20000 /* thousandths; a worker that is slower by more stands still */
#define ESTIMATE_SPEED_LEAST 600  /* thousandths; workers differ by a quarter either way; ... */
#define ESTIMATE_SPEED_MOST                                                                                       \
    1700                     /* thousandths; ... with estimates off by up to half, beyond this it is a slow spell \
                              */
#define STILL_PERCENT 15     /* percent; an attempt without progress while so much of its work was due stands still */
#define STILL_LEAST_MS 1000  /* ms; ... and so long: resuming from saved progress begins with a pause */
#define PACE_CREDIT 16       /* count; reports of progress before their absence counts: some workers send none */
#define STOP_CHECK_MS 200    /* ms; between two looks for attempts that are better restarted elsewhere */
#define SLOW_GAIN 2.5        /* 1; an attempt is restarted elsewhere when that takes so many times less ... */
#define SLOW_COST_MS 1000    /* ms; ... and this much besides: stopping, starting, and the work thrown away */
#define LEAVE_LAST_MS 1500   /* ms; a leaving worker's attempts are stopped so long before: progress is saved */
#define LEAVE_START_MS 300   /* ms; an order that a leaving worker has not begun by then is withdrawn */
#define LEAVE_STOPS_MOST 32  /* count; attempts taken off leaving workers by one look */
#define STOPS_MOST 4         /* count; attempts restarted elsewhere by one look */
#define SLOW_ATTEMPTS_MOST 5 /* count; a task that has had so many attempts is left where it is */
#define TARGET_LATE_TIMES 3  /* count; until so many times its latency target a job is still worth something */
#define TARGET_DOUBT_PERCENT                                                                                          \
    25                           /* percent of the work left; a target missed by less may be met: estimates are rough \
                                  */
#define TARGET_HORIZON_MS 2000   /* ms; a target so much farther off weighs 2.7 times less: about one task's time */
#define TARGET_PRIORITY_RANK 1.4 /* 1; a queue's step of priority weighs 4 times more */
#define TARGET_BEGUN_RANK 1.0    /* 1; a nearly done job weighs so much more than one not begun: it is well spent */
#define TARGET_LATE_RANK (-1.5)  /* 1; what is late is worth a fifth */
#define TARGET_LOST_RANK (-1000.0) /* 1; what is worth nothing goes last */
#define TARGET_BAND 4.0            /* per 1; ranks in one part of this size count as equal: tenants take turns */
#define TARGET_WAVE_PART 4         /* in the fleet; a step wider than this part of it runs in waves */

/* --- scores of workers that claim health ----------------------------------------------------- */
#define SCORE_WEIGHT 25          /* percent; what the newest attempt counts in a worker's rate of failures */
#define SCORE_REST 60            /* percent; above this rate, with SCORE_JOBS, a worker gets nothing for a while */
#define SCORE_JOBS 3             /* count; different jobs in a row that failed there: one bad job is no bad worker */
#define SCORE_REST_MS 10000      /* ms; the first rest, doubled each time ... */
#define SCORE_REST_MAX_MS 300000 /* ms; ... up to this */
#define SCORE_FADE_MS 10000      /* ms; a rate that nothing renews halves in this, so that all are tried again */
#define SCORE_SHARE 4            /* of the fleet's workers at most one in so many rests at once */

#define SLOW_WEIGHT 50      /* percent; what a slow attempt counts: those side by side are one sign, so signs are few */
#define SLOW_SIGNS 2        /* count; slow attempts of different jobs before a worker counts as slow */
#define SLOW_TIMES 3        /* count; an attempt that takes so many times its step's median is a slow one */
#define SLOW_OTHERS 4       /* count; other attempts of the step that a median needs */
#define SLOW_OTHERS_MOST 64 /* count; ... and more than this are not looked at: a step may have thousands */
#define SLOW_LEAST_MS 200   /* ms; a median below this says nothing: the round trip takes as long */

/* --- planner --------------------------------------------------------------------------------- */
#define PLAN_EXHAUSTIVE_MAX 400 /* count; loss sequences walked one by one; above it the cheap bound */
#define PLAN_R_MAX 4            /* count; worker losses a plan may be asked to survive */
#define PLAN_CHECK_MS 1000      /* ms; where no loss is to be survived the plan is computed this often, to be shown */
#define CHOOSE_TIME 2           /* 1; a worker that takes as much longer must have so many times more capacity free */
#define CHOOSE_GPU 500          /* thousandths of a worker; what a GPU there costs work that needs none */
/* thousandths of a worker; what a step's tasks gain together: more than a worker's whole capacity, less than what one
 * that is slow or fails its work costs */
#define CHOOSE_TOGETHER 1000
#define FAR_WAIT_MS 1500 /* ms; work waits so long for capacity near its data: half of what may stand still */

/* --- capacity reserved for large work -------------------------------------------------------- */
#define RESERVE_SLACK_MS 3000 /* ms; work that must be under way within this has capacity that falls free reserved */
#define RESERVE_SHARE 3       /* of the fleet's capacity at most one part in so many */
#define RESERVATION_WAIT_MS 10000  /* ms; work that fits a whole worker and no gap for so long has one reserved */
#define RESERVATION_LEAST_MS 300   /* ms; ... with a latency target after an eighth of its span, but not before this */
#define RESERVATION_SHARE 4        /* of the fleet's workers at most one in so many is reserved at once */
#define ZONE_ORDERS_MAX 16         /* count; orders for a zone that are recognised when they are sent again */
#define RESERVATION_MEMBERS_MAX 64 /* count; workers reserved for one gang */

/* --- policies and preemption ----------------------------------------------------------------- */
#define LUA_STEPS_MAX 20000        /* count; instructions of one call: some 0.2 ms */
#define LUA_STEPS_TICK 100         /* count; instructions are counted by so many */
#define LUA_BYTES_MAX (512 * 1024) /* bytes; memory of one policy */
#define STOP_TAKES_MS 300      /* ms; a stop is heard with the worker's next report, takes a moment, and is reported */
#define ENDS_LEAST_MS 50       /* ms; nothing that runs is expected to end sooner */
#define PREEMPT_TAKES_MS 600   /* ms; from a preemption until the capacity is used: a stop, and a start */
#define PREEMPT_SLACK_MS 900   /* ms; work that must be under way within this may preempt: it takes most of it */
#define PREEMPT_COST 2         /* 1; a preemption throws away at most so many times the work that it makes room for */
#define PREEMPT_VICTIMS_MOST 4 /* count; attempts preempted for one task */
#define PREEMPT_GAP_MS 100     /* ms; between two looks for attempts to preempt */
#define PREEMPT_TASKS_MAX 32   /* count; running tasks looked at for one that wants capacity */

/* --- process --------------------------------------------------------------------------------- */
#define TASK_STACK_BYTES (192 * 1024) /* bytes; a coroutine's: JSON and printf fit, also under ASan */
#define TASK_STACKS_IDLE_MOST 24 /* count; stacks of ended coroutines kept for the next: a burst pays for its own */
#define FRAME_MAX_BYTES (32 * 1024 * 1024)     /* bytes; one message: a whole snapshot (SNAPSHOT_WHOLE_BYTES) fits */
#define CHANNEL_QUEUE_BYTES (96 * 1024 * 1024) /* bytes; more unsent than this ends the connection */
#define CHANNEL_KEEP_BYTES (32 * 1024)         /* bytes; a buffer that grew larger for one frame is given back */
#define CHANNEL_QUEUE_FRAMES 4096              /* count; more unread than this ends the connection */
#define HTTP_BODY_MAX (2 * 1024 * 1024)        /* bytes; a request's body: a configuration fits (CONFIG_BODY_MAX) */
#define HTTP_HEAD_MAX (32 * 1024) /* bytes; a request's head with its path: far more than any caller sends */
#define HTTP_HEAD_MS 5000  /* ms; a head that has begun is complete within this: callers are in the same network */
#define HTTP_IDLE_MS 60000 /* ms; a caller's connection without a request is closed after this */
#define HTTP_CONNECTIONS_MAX 3000 /* count; of callers to one process at a time */
#define HTTP_TASKS_MAX 2048       /* count; requests in flight in one process; more are told to come back */
#define TRACE_EVENTS 2048         /* count; steps of changes that a node remembers: minutes at today's loads */
#define RECORDER_LINES 256        /* count; lines in the flight recorder */
#define RECORDER_LINE_BYTES 200   /* bytes; one line of it; a longer one is cut */
#define RECORDER_NOTES_AT_ONCE 20 /* count; notes written together, so that a change of leader is logged whole */
#define RECORDER_NOTE_GAP_MS 500  /* ms; after those, one note is written per gap: a line costs processor time */
#define RETRY_AFTER_S 1           /* s; sent with a 503: another entry point, or the same in a moment, will do */
#define RETRY_ELECTION_S 2        /* s; ... when no leader serves: one is found again in 2 to 3 s */
#define RETRY_CROWD_S 5           /* s; ... when too much waits: some of it has run by then */
#define DRAIN_MS 3000             /* ms; SIGTERM: not ready at once, ended after this at the latest */
#define DRAIN_MARGIN_MS 100       /* ms; ... less this, to end in */
#define DRAIN_CHECK_MS 10         /* ms; between two looks whether the last request has been answered */

/* --- formats --------------------------------------------------------------------------------- */
#define WIRE_VERSION 1    /* the version of frames; peers ignore trailing fields they do not know */
#define JOURNAL_VERSION 1 /* the version of journal records */

#endif
