/**
 * Load pattern: an entry's own link is slower than the orders that it has to send. Orders beyond what the link carries
 * would wait in sockets and buffers, renewals of leases and answers to callers behind them, until they are outdated at
 * their agents. The entry therefore bounds the bytes of start orders in flight, by the delay that its frames show: the
 * time from sending a frame to receiving the first frame of the agent that reflects it, without the time that the agent
 * held it.
 */
import { heartbeatIntervalMilliseconds, silenceLimitMilliseconds } from "../model/timing.js";

/** Delay by waiting frames up to which more is sent, in milliseconds; leases are renewed at twice this interval. */
const targetDelayMilliseconds = heartbeatIntervalMilliseconds / 2;

/** Delay by waiting frames above which the link counts as short, in milliseconds; more than processes take to react. */
const shortDelayMilliseconds = targetDelayMilliseconds / 2;

/** Smallest bound, in bytes: a job with a usual specification for two workers. */
const minimumWindowBytes = 2 * 1024;

/** First bound without a stated rate of the link, in bytes; it doubles with each round trip while frames arrive without delay. */
const initialWindowBytes = 16 * 1024;

/** Growth after a first reduction, compared with that before; delays show the effect of growth only a round trip later. */
const laterGrowthFactor = 1 / 4;

/** Bytes that a link of one megabit per second carries in a millisecond. */
const bytesPerMillisecondOfMegabit = 125;

/** Largest bound, in bytes; links that carry more within the target delay are no limit to orders. */
const maximumWindowBytes = 16 * 1024 * 1024;

/** Interval of which the shortest delay counts, in milliseconds; a delay of one agent is not one of the link. */
const observationMilliseconds = 50;

/**
 * Largest delay that counts as one of the route, in milliseconds; with more, orders are outdated while an agent's silence
 * is not noticed yet.
 */
const maximumRouteDelayMilliseconds = silenceLimitMilliseconds / 2;

/** Time after which a link without further observations no longer counts as short, in milliseconds. */
const observationLifeMilliseconds = 5 * heartbeatIntervalMilliseconds;

/** Time after which a link that was short may carry more than its bound suggests, in milliseconds. */
const shortMemoryMilliseconds = 2000;

/** Time constant with which the highest observed rate fades, in milliseconds. */
const rateMemoryMilliseconds = 1000;

/** Time between two ticks that counts as a pause of the process, in milliseconds; ticks are closer while jobs are open. */
const pauseMilliseconds = shortDelayMilliseconds + 10;

interface SentFrame {
    readonly sequence: number;
    readonly bytes: number;
    readonly sentAt: number;
    /** True when so few orders were in flight that they cannot have delayed the frame. */
    readonly isUnimpeded: boolean;
}

/** Values by which decisions about the link can be understood. */
export interface LinkFigures {
    /** Estimated bytes of start orders that were sent and not reflected by their agents. */
    readonly inFlightBytes: number;
    /** Bound on them. */
    readonly windowBytes: number;
    /** Delay by waiting frames in the latest observation, in milliseconds. */
    readonly delayMilliseconds: number;
    /** Age of the oldest of those orders, in milliseconds. */
    readonly oldestMilliseconds: number;
}

/** Bound on the start orders that an entry has in flight. */
export class LinkBacklog {
    /** Frames in flight by agent; an agent that does not report how long it held a frame is missing. */
    private readonly sentFrames = new Map<string, SentFrame[]>();
    private windowBytes: number;
    private unsentBytes = 0;
    private delayMilliseconds = 0;
    private observedAt = Number.NEGATIVE_INFINITY;
    private lastShortAt = Number.NEGATIVE_INFINITY;
    /** Delay without waiting orders. */
    private routeDelay = maximumRouteDelayMilliseconds;
    private observation = createObservation(Number.NEGATIVE_INFINITY);
    /** Highest rate at which starts have arrived lately; what the link carries while it is short. */
    private bytesPerMillisecond = 0;
    private lastTickAt = Number.NEGATIVE_INFINITY;
    private growthFactor = 1;
    /** Delays of frames that were sent before this instant are not observed. */
    private observedFrom = Number.NEGATIVE_INFINITY;
    /** When orders had to wait for the link. */
    private limitedAt = Number.NEGATIVE_INFINITY;

    /**
     * @param megabitsPerSecond - rate of the instance's link; the first bound is what it carries in the target delay
     */
    public constructor(megabitsPerSecond?: number) {
        this.windowBytes = megabitsPerSecond === undefined
            ? initialWindowBytes
            : clampWindow(megabitsPerSecond * bytesPerMillisecondOfMegabit * targetDelayMilliseconds);
    }

    /** Bound on the bytes of start orders in flight. */
    public get maximumBytes(): number {
        return this.windowBytes;
    }

    /**
     * Records that the process runs. Delays of frames that it sent before a pause of its own are not those of the link.
     *
     * @param now - current monotonic time, in milliseconds
     */
    public recordTick(now: number): void {
        if (now - this.lastTickAt > pauseMilliseconds) {
            this.observedFrom = now;
        }
        this.lastTickAt = now;
    }

    /**
     * Records a frame.
     *
     * @param agent - incarnation of the receiving agent
     * @param sequence - sequence number of the frame
     * @param startBytes - estimated bytes of its start orders
     * @param now - current monotonic time, in milliseconds
     */
    public recordSent(agent: string, sequence: number, startBytes: number, now: number): void {
        const frames = this.sentFrames.get(agent);
        if (frames !== undefined) {
            const isUnimpeded = this.countInFlightBytes(now) <= minimumWindowBytes;
            frames.push({ sequence, bytes: startBytes, sentAt: now, isUnimpeded });
        }
    }

    /**
     * Records a frame from an agent.
     *
     * @param agent - incarnation of the agent
     * @param sequence - sequence number of the newest frame of the entry that it reflects; 0 for none
     * @param heldMilliseconds - time for which the agent had that frame; undefined if the agent does not report it
     * @param now - current monotonic time, in milliseconds
     */
    public recordIncluded(agent: string, sequence: number, heldMilliseconds: number | undefined, now: number): void {
        if (heldMilliseconds === undefined) {
            return;
        }
        const frames = this.sentFrames.get(agent) ?? [];
        this.sentFrames.set(agent, frames);
        let newest: SentFrame | undefined;
        let arrivedBytes = 0;
        while (frames[0] !== undefined && frames[0].sequence <= sequence) {
            newest = frames.shift();
            arrivedBytes += newest?.bytes ?? 0;
        }
        // A frame that was acknowledged before shows nothing new.
        if (newest === undefined || newest.sentAt < this.observedFrom) {
            return;
        }
        this.observe(agent, newest, Math.max(0, now - newest.sentAt - heldMilliseconds), arrivedBytes, now);
    }

    /**
     * Forgets the frames that were sent on a connection that has ended.
     *
     * @param agent - incarnation of the agent
     */
    public forget(agent: string): void {
        this.sentFrames.delete(agent);
    }

    /**
     * Records what waits in the process itself.
     *
     * @param bytes - bytes of all connections that the operating system has not taken
     */
    public recordUnsent(bytes: number): void {
        this.unsentBytes = bytes;
    }

    /**
     * Tells whether frames wait for the link.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns true when even the fastest ones were delayed lately
     */
    public isShort(now: number): boolean {
        return now - this.observedAt <= observationLifeMilliseconds && this.delayMilliseconds > shortDelayMilliseconds;
    }

    /**
     * Computes how many bytes of start orders may be sent.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns bytes; zero or less when orders have to wait
     */
    public countSendableBytes(now: number): number {
        return this.windowBytes - Math.max(this.countInFlightBytes(now), this.unsentBytes);
    }

    /**
     * Records that orders wait for the link, so that the bound may be raised when frames arrive without delay.
     *
     * @param now - current monotonic time, in milliseconds
     */
    public recordLimit(now: number): void {
        this.limitedAt = now;
    }

    /**
     * Estimates when start orders would arrive.
     *
     * @param bytes - bytes of the orders and of those to be sent before them
     * @param now - current monotonic time, in milliseconds
     * @returns milliseconds; 0 while the link is not short or its rate is unknown
     */
    public estimateArrivalMilliseconds(bytes: number, now: number): number {
        if (!this.isShort(now) || this.bytesPerMillisecond === 0) {
            return 0;
        }
        const waitingBytes = Math.max(0, bytes - this.countSendableBytes(now));
        return this.estimateDelay(now) + (waitingBytes === 0 ? 0 : waitingBytes / this.bytesPerMillisecond);
    }

    /**
     * Describes the link.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns values for the log and the metrics
     */
    public describe(now: number): LinkFigures {
        let oldest = now;
        for (const [frame] of this.sentFrames.values()) {
            oldest = Math.min(oldest, frame?.sentAt ?? now);
        }
        return {
            inFlightBytes: Math.round(this.countInFlightBytes(now)),
            windowBytes: Math.round(this.windowBytes),
            delayMilliseconds: Math.round(this.delayMilliseconds),
            oldestMilliseconds: Math.round(now - oldest),
        };
    }

    /** Estimates the present delay: what is beyond the target is not replaced and leaves the link. */
    private estimateDelay(now: number): number {
        const excess = Math.max(0, this.delayMilliseconds - targetDelayMilliseconds);
        return this.routeDelay + this.delayMilliseconds - Math.min(excess, now - this.observedAt);
    }

    private countInFlightBytes(now: number): number {
        // An agent that is silent for longer would hold up the orders for all others. On a link that is not short, frames
        // have arrived before that, although agents without news report it late.
        const longest = this.isShort(now) ? silenceLimitMilliseconds : this.routeDelay + targetDelayMilliseconds;
        let sum = 0;
        for (const frames of this.sentFrames.values()) {
            for (const { bytes, sentAt } of frames) {
                sum += now - sentAt <= longest ? bytes : 0;
            }
        }
        return sum;
    }

    private observe(agent: string, frame: SentFrame, delay: number, arrivedBytes: number, now: number): void {
        if (now - this.observation.latestAt > observationMilliseconds) {
            this.observation = createObservation(now);
        }
        const { observation } = this;
        this.routeDelay = Math.min(this.routeDelay, delay);
        this.observation = {
            ...observation,
            latestAt: now,
            agent: observation.agent ?? agent,
            hasSeveralAgents: observation.hasSeveralAgents || (observation.agent ?? agent) !== agent,
            shortestDelay: Math.min(observation.shortestDelay, delay),
            arrivedBytes: observation.arrivedBytes + arrivedBytes,
            routeDelay: frame.isUnimpeded ? Math.min(observation.routeDelay, delay) : observation.routeDelay,
        };
        const waiting = delay - this.routeDelay;
        if (now - this.limitedAt <= 2 * observationMilliseconds && waiting < targetDelayMilliseconds) {
            const growth = arrivedBytes * (1 - waiting / targetDelayMilliseconds) * this.growthFactor;
            this.windowBytes = Math.min(maximumWindowBytes, this.windowBytes + growth);
        }
        const isComplete = this.observation.hasSeveralAgents || this.sentFrames.size === 1;
        if (isComplete && now - observation.startedAt >= observationMilliseconds) {
            this.adjust(this.observation, arrivedBytes, now);
            this.observation = createObservation(now);
        }
    }

    private adjust(observation: Observation, arrivedBytes: number, now: number): void {
        const { shortestDelay, routeDelay } = observation;
        const sinceObservation = now - this.observedAt;
        if (Number.isFinite(routeDelay)) {
            this.routeDelay = Math.min(maximumRouteDelayMilliseconds, routeDelay);
        }
        this.delayMilliseconds = Math.max(0, shortestDelay - this.routeDelay);
        this.observedAt = now;
        if (this.delayMilliseconds > shortDelayMilliseconds) {
            // Only what arrives over a short link shows its rate; otherwise it shows the demand.
            const rate = observation.arrivedBytes / (now - observation.startedAt);
            const fading = Math.exp(-sinceObservation / rateMemoryMilliseconds);
            this.bytesPerMillisecond = Math.max(rate, this.bytesPerMillisecond * fading);
            this.lastShortAt = now;
        }
        else if (now - this.lastShortAt > shortMemoryMilliseconds) {
            this.growthFactor = 1;
        }
        if (this.delayMilliseconds > targetDelayMilliseconds) {
            const bytes = Math.min(this.windowBytes, this.countInFlightBytes(now) + arrivedBytes);
            const reduced = bytes * targetDelayMilliseconds / this.delayMilliseconds;
            this.windowBytes = Math.max(minimumWindowBytes, reduced);
            this.growthFactor = laterGrowthFactor;
            // A smaller bound shows only in frames that are sent after the excess has left.
            this.observedFrom = now + this.delayMilliseconds - targetDelayMilliseconds;
        }
    }
}

function clampWindow(bytes: number): number {
    return Math.min(maximumWindowBytes, Math.max(minimumWindowBytes, bytes));
}

/** Delays of the frames that arrived in one interval. */
interface Observation {
    readonly startedAt: number;
    readonly latestAt: number;
    /** Agent of the first of them. */
    readonly agent: string | undefined;
    readonly hasSeveralAgents: boolean;
    readonly shortestDelay: number;
    /** Bytes of the start orders that have arrived. */
    readonly arrivedBytes: number;
    /** Shortest delay of frames that no orders have delayed. */
    readonly routeDelay: number;
}

function createObservation(now: number): Observation {
    return {
        startedAt: now,
        latestAt: now,
        agent: undefined,
        hasSeveralAgents: false,
        shortestDelay: Number.POSITIVE_INFINITY,
        arrivedBytes: 0,
        routeDelay: Number.POSITIVE_INFINITY,
    };
}
