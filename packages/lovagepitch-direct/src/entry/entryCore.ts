/**
 * Decisions of an entry: which jobs it accepts, on which workers it places their tasks, and how it answers callers.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { Core } from "@lovagepitch/utils/core";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { maximumDeferredInputs } from "../model/deferredInputs.js";
import { type DispatchConfiguration, findRoute, type Route } from "../model/dispatchConfiguration.js";
import { type ProcessorTime, UnmeasuredProcessorTime } from "../model/processorTime.js";
import { receiveInputs } from "../model/receiveInputs.js";
import { heartbeatIntervalMilliseconds, idleHeartbeatIntervalMilliseconds } from "../model/timing.js";
import type { ZoneEvacuations } from "../model/zoneEvacuations.js";
import { createEntryPolicies, type EntryPolicies } from "../policies/entryPolicies.js";
import type { LinkFigures } from "../policies/linkBacklog.js";
import type { QueueUse } from "../policies/queueShares.js";
import { canReceiveTasks, receiveAgentFrame, receiveDisconnected, removeLostAgents } from "./agentFrames.js";
import {
    forgetInvitations,
    receiveCapacityRequest,
    receiveEntryLocations,
    requestCapacity,
} from "./capacityRequests.js";
import { receiveConfiguration } from "./configurationRelay.js";
import { releaseKinds } from "./crashReports.js";
import { detectCut } from "./entryCut.js";
import { sendFrames } from "./entryFrames.js";
import type { EntryInput, EntryOutput } from "./entryPorts.js";
import { type EntryIdentity, EntryState, mayHaveStarted } from "./entryState.js";
import { receiveEvacuations } from "./evacuationRelay.js";
import { cancelForwardedJob, forwardJob, interruptForwardedJobs, withdrawForwardedRequest } from "./forwardedJobs.js";
import {
    closeSilentForwardingClients,
    receiveForwardingClientClosed,
    receiveForwardingFrame,
    sendForwardingReplies,
} from "./forwardingClients.js";
import {
    receiveForwardingLinkClosed,
    receiveForwardingReply,
    sendForwardingFrames,
    updateForwardingConnections,
} from "./forwardingConnections.js";
import { requestReleases } from "./heldJobs.js";
import { isUrgentInput } from "./inputUrgency.js";
import { sendInquiries } from "./jobInquiries.js";
import { announceJobs, receiveOwnershipMessage } from "./jobOwnership.js";
import { reportLink } from "./linkReport.js";
import { expireJobs, findNextExpiry, placeTasks } from "./placement.js";
import { detectPause } from "./processPause.js";
import {
    forgetEarlyCancellations,
    interruptJobs,
    receiveCallerDisconnected,
    receiveCancellation,
    receiveOwnJob,
} from "./submissions.js";
import { awaitsDatagrams, detectUnreadDatagrams } from "./unreadDatagrams.js";

/**
 * Longest time between ticks, in milliseconds; bounds the delay until a lost agent or the end of a pause is detected.
 */
const maximumTickIntervalMilliseconds = heartbeatIntervalMilliseconds / 4;

/** Longest time between ticks without jobs, in milliseconds; heartbeats are rarer, and nothing waits for a worker. */
const idleTickIntervalMilliseconds = idleHeartbeatIntervalMilliseconds / 2;

/** What a cancellation was about: an open job, none that is open, or a path that no route has ever had. */
export type CancellationOutcome = "cancelled" | "unknown-job" | "unknown-route";

/** Jobs that an entry passes on. */
export interface ForwardingFigures {
    /** Jobs that were passed on and have not been answered. */
    readonly openJobs: number;
    /** Part of the new jobs that is passed on, from 0 to 1. */
    readonly share: number;
}

/** Core of an entry: turns inputs into answers, frames and log lines, without input or output of its own. */
export class EntryCore extends Core<EntryInput, EntryOutput> {
    private readonly state: EntryState;
    private inputs: EntryInput[] = [];
    /** Lost agents are searched for as often as when no input arrives, not on every tick. */
    private nextLostAgentCheckAt = 0;

    /**
     * @param identity - incarnation, instance and availability zone of the process
     * @param clock - monotonic clock
     * @param random - source of random bonuses in the choice of workers
     * @param policies - policies that the entry decides with
     * @param processorTime - time for which the process has run
     */
    public constructor(
        identity: EntryIdentity,
        clock: Clock,
        random: RandomSource,
        policies: EntryPolicies = createEntryPolicies(),
        processorTime: ProcessorTime = new UnmeasuredProcessorTime(),
    ) {
        super();
        this.state = new EntryState(identity, clock, random, policies, processorTime);
    }

    /** The configuration in force. */
    public get configuration(): DispatchConfiguration | undefined {
        return this.state.configuration;
    }

    /** Evacuated zones in force. */
    public get evacuations(): ZoneEvacuations {
        return this.state.evacuations;
    }

    /** Number of jobs that have not been answered. */
    public get openJobs(): number {
        return this.state.jobs.size;
    }

    /**
     * True when the entry can serve callers: a configuration is in force, a worker accepts tasks and no shutdown has
     * started.
     */
    public get isReady(): boolean {
        const { state } = this;
        if (state.configuration === undefined || state.isShuttingDown) {
            return false;
        }
        for (const row of state.agents.values()) {
            if (canReceiveTasks(state, row)) {
                return true;
            }
        }
        return false;
    }

    /** Share of the recent time for which the process had work, from 0 to 1. */
    public get processorLoad(): number {
        return this.state.processorLoad.share;
    }

    /** Jobs that were passed on and have not been answered, and the part of the new jobs that is passed on. */
    public get forwardingFigures(): ForwardingFigures {
        return { openJobs: this.state.forwardedJobs.size, share: this.state.policies.jobForwarding.share };
    }

    /** Start orders in flight, their bound and their delay. */
    public get link(): LinkFigures {
        return this.state.linkBacklog.describe(this.state.now);
    }

    /** Numbers of confined kinds of jobs and of jobs that are known to crash workers. */
    public get crashFigures(): { readonly confinedKinds: number; readonly crashingJobs: number } {
        const { crashingKinds, crashEvidence } = this.state;
        return { confinedKinds: crashingKinds.confinedCount, crashingJobs: crashEvidence.crashingJobCount };
    }

    /**
     * Finds the route of a request.
     *
     * @param host - host name of the request, without a port
     * @param path - path of the request, without a query
     * @returns the route, or undefined when none matches or no configuration is in force
     */
    public findRoute(host: string, path: string): Route | undefined {
        return this.state.configuration === undefined ? undefined : findRoute(this.state.configuration, host, path);
    }

    /**
     * Cancels in the next tick the job that a path names: one of the route in force or, when that has no such open job, of a former one.
     *
     * @param host - host name of the request in lower case, without a port
     * @param path - path of the request, without a query: prefix of the route and id of the job
     * @returns whether such a job is open, or a route for it was ever known
     */
    public cancel(host: string, path: string): CancellationOutcome {
        const isOpen = ({ name, pathPrefix }: Route): boolean => {
            return this.describeJob(path.slice(pathPrefix.length), name) !== undefined;
        };
        const current = this.findRoute(host, path);
        const former = current !== undefined && isOpen(current) ? [] : this.state.formerRoutes.list(host, path);
        const route = former.find(isOpen) ?? current ?? former[0];
        if (route === undefined) {
            return "unknown-route";
        }
        const outcome = isOpen(route) ? "cancelled" : "unknown-job";
        this.accept({ kind: "cancelled", job: path.slice(route.pathPrefix.length), route: route.name });
        return outcome;
    }

    /**
     * Describes the progress of an open job.
     *
     * @param id - id of the job
     * @param route - name of the job's route
     * @returns the progress, or undefined when no job of that id and route is open
     */
    public describeJob(id: string, route: string): "waiting" | "started" | undefined {
        const row = this.state.jobs.get(id);
        if (this.state.forwardedJobs.get(id)?.job.route === route) {
            return "started";
        }
        if (row?.job.route !== route) {
            // A job that was read in the same turn of the event loop is processed in the next tick.
            const isSubmitted = this.inputs.some(input => {
                return input.kind === "submitted" && input.job.id === id && input.job.route === route;
            });
            return isSubmitted ? "waiting" : undefined;
        }
        return mayHaveStarted(row) ? "started" : "waiting";
    }

    /**
     * Counts the jobs of a route of which no task may have started.
     *
     * @param route - name of the route
     * @returns number of waiting jobs
     */
    public countWaiting(route: string): number {
        let count = 0;
        for (const row of this.state.jobs.values()) {
            count += row.job.route === route && !mayHaveStarted(row) ? 1 : 0;
        }
        return count;
    }

    /**
     * Finds the earliest instant at which a connection or request that is read now may have arrived.
     *
     * @returns monotonic milliseconds
     */
    public findEarliestArrival(): number {
        const { readDelay, now, wakeAt } = this.state;
        return readDelay.findEarliestArrival(now, wakeAt);
    }

    /** Lists the use of room by each queue; empty without shares. */
    public listQueueUse(): readonly QueueUse[] {
        return this.state.policies.queueShares.list(this.state.now);
    }

    /** {@inheritDoc Core.accept} */
    public override accept(input: EntryInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc Core.isUrgent} */
    public override isUrgent(input: EntryInput): boolean {
        return this.inputs.length >= maximumDeferredInputs || isUrgentInput(this.state, input);
    }

    /** {@inheritDoc Core.tick} */
    public override tick(): readonly EntryOutput[] {
        const { state } = this;
        const inputs = this.takeInputs();
        state.readClock();
        detectPause(state);
        detectUnreadDatagrams(state, inputs.others);
        forgetEarlyCancellations(state);
        state.linkBacklog.recordTick(state.now);
        const log = (...line: Parameters<EntryState["log"]>): void => state.log(...line);
        receiveInputs(inputs.fromEntries, input => this.receive(input), log);
        // Before the submissions that have waited together with them: a job whose former caller has gone is not joined.
        closeSilentForwardingClients(state);
        receiveInputs(inputs.others, input => this.receive(input), log);
        if (state.now >= this.nextLostAgentCheckAt) {
            this.nextLostAgentCheckAt = state.now + maximumTickIntervalMilliseconds;
            removeLostAgents(state);
        }
        updateForwardingConnections(state);
        releaseKinds(state);
        detectCut(state);
        requestReleases(state);
        sendInquiries(state);
        placeTasks(state);
        expireJobs(state);
        requestCapacity(state);
        forgetInvitations(state);
        reportLink(state);
        // In a tick that takes long, an announcement may have become due since it began; it has to go before the frames.
        state.readClock();
        // Before the frames, which an owner of jobs may send only while others hear of it.
        announceJobs(state);
        sendForwardingReplies(state);
        sendForwardingFrames(state);
        sendFrames(state);
        state.wakeAt = this.nextWakeAtMilliseconds();
        state.endTick();
        return state.outputs.splice(0);
    }

    /** {@inheritDoc Core.nextWakeAtMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        const { state } = this;
        if (awaitsDatagrams(state)) {
            return state.now;
        }
        const isIdle = state.jobs.size === 0 && state.stoppingRuns.size === 0 && state.forwardedJobs.size === 0;
        const latest = state.now + (isIdle ? idleTickIntervalMilliseconds : maximumTickIntervalMilliseconds);
        return Math.min(latest, findNextExpiry(state) ?? latest);
    }

    /** Takes the queued inputs, with those of entries that pass jobs on apart; connections are independent of each other. */
    private takeInputs(): { readonly fromEntries: readonly EntryInput[]; readonly others: readonly EntryInput[] } {
        const { inputs } = this;
        this.inputs = [];
        const isFromEntry = ({ kind }: EntryInput): boolean => kind === "forwarding-frame";
        return inputs.some(isFromEntry)
            ? { fromEntries: inputs.filter(isFromEntry), others: inputs.filter(input => !isFromEntry(input)) }
            : { fromEntries: [], others: inputs };
    }

    private receive(input: EntryInput): void {
        const { state } = this;
        switch (input.kind) {
            case "submitted":
                return this.receiveSubmission(input);
            case "caller-disconnected":
                if (!withdrawForwardedRequest(state, input.request, input.job)) {
                    receiveCallerDisconnected(state, input.request, input.job);
                }
                return;
            case "cancelled":
                if (!cancelForwardedJob(state, input.job, input.route)) {
                    receiveCancellation(state, input.job, input.route);
                }
                return;
            case "frame":
                return receiveAgentFrame(state, input.connection, input.frame, input.receivedAt);
            case "disconnected":
                receiveForwardingClientClosed(state, input.connection);
                return receiveDisconnected(state, input.connection);
            case "configured":
                return receiveConfiguration(state, input.configuration, input.source);
            case "evacuations-read":
                return receiveEvacuations(state, input.evacuations, "store");
            case "entries-found":
                return receiveEntryLocations(state, input.entries);
            case "capacity-requested":
                return receiveCapacityRequest(state, input.request);
            case "ownership":
                return receiveOwnershipMessage(state, input.message, input.receivedAt);
            case "forwarding-frame":
                return receiveForwardingFrame(state, input.connection, input.frame);
            case "forwarding-reply":
                return receiveForwardingReply(state, input.address, input.reply, input.receivedAt);
            case "entry-disconnected":
                return receiveForwardingLinkClosed(state, input.address);
            case "unsent":
                return state.linkBacklog.recordUnsent(input.bytes);
            case "shut-down":
                state.isShuttingDown = true;
                return;
            case "interrupt":
                interruptForwardedJobs(state);
                interruptJobs(state);
        }
    }

    private receiveSubmission(input: Extract<EntryInput, { readonly kind: "submitted" }>): void {
        const { request, job, earliestArrival, isMemoryFull } = input;
        const details = { earliestArrival, isMemoryFull };
        if (!forwardJob(this.state, request, job, details)) {
            receiveOwnJob(this.state, request, job, details);
        }
    }
}
