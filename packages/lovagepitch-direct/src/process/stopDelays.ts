/**
 * Time that an entry's process takes to stop the runs of callers that have gone.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { heartbeatIntervalMilliseconds, lostAgentTimeoutMilliseconds } from "../model/timing.js";

/** Time after which a caller whose connection has broken sends its job again, in milliseconds. */
const resubmissionDelayMilliseconds = 1300;

/** Longest time between ticks of an entry with jobs that gets enough processor time, in milliseconds. */
const tickIntervalMilliseconds = heartbeatIntervalMilliseconds / 4;

/** Delay above which the process has been late by more than the margin of the callers' wait, in milliseconds. */
const lateMilliseconds = tickIntervalMilliseconds + resubmissionDelayMilliseconds - lostAgentTimeoutMilliseconds;

/**
 * Measures the delay from the end of the previous tick to the frames with the stops. The end of a connection that could be read before
 * that tick was read before it, so it has waited in the process for at most this delay and the duration of that tick; its way there is not
 * included.
 */
export class StopDelays {
    private tickEndedAt: number;
    private goneCallers = 0;

    /**
     * @param clock - monotonic clock
     * @param observe - called with each delay, in milliseconds
     * @param onLate - called with a delay that exceeds the margin, in milliseconds, and the number of callers that had gone
     */
    public constructor(
        private readonly clock: Clock,
        private readonly observe: (milliseconds: number) => void,
        private readonly onLate: (milliseconds: number, callers: number) => void,
    ) {
        this.tickEndedAt = clock.nowMilliseconds();
    }

    /** Records that a caller has gone whose job the next tick ends. */
    public recordGoneCaller(): void {
        this.goneCallers += 1;
    }

    /** Records that the outputs of a tick have been performed. */
    public recordTick(): void {
        const now = this.clock.nowMilliseconds();
        const milliseconds = now - this.tickEndedAt;
        this.tickEndedAt = now;
        if (this.goneCallers === 0) {
            return;
        }
        this.observe(milliseconds);
        if (milliseconds > lateMilliseconds) {
            this.onLate(milliseconds, this.goneCallers);
        }
        this.goneCallers = 0;
    }
}
