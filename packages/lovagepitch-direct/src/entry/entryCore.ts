/**
 * Decisions of an entry: which jobs are accepted, where their tasks go, and what callers are told.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { Core } from "@lovagepitch/utils/core";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { type DispatchConfiguration, findRoute, type Route } from "../model/dispatchConfiguration.js";
import { heartbeatIntervalMilliseconds } from "../model/timing.js";
import {
    expireAgents,
    isUsable,
    receiveAgentFrame,
    receiveConfiguration,
    receiveDisconnected,
    sendFrames,
} from "./agentFrames.js";
import type { EntryInput, EntryOutput } from "./entryPorts.js";
import { type EntryIdentity, EntryState, mayHaveStarted } from "./entryState.js";
import { giveUpJobs, nextGiveUp, placeTasks } from "./placement.js";
import { interruptJobs, receiveCallerGone, receiveCancellation, receiveJob } from "./submissions.js";

/** Longest time between ticks: lost agents and ends of pauses are noticed this late at most. */
const tickMilliseconds = heartbeatIntervalMilliseconds / 4;

/** The entry's core. */
export class EntryCore extends Core<EntryInput, EntryOutput> {
    private readonly state: EntryState;
    private inputs: EntryInput[] = [];

    /**
     * @param identity - the process
     * @param clock - steady clock
     * @param random - varies the choice of workers
     */
    public constructor(identity: EntryIdentity, clock: Clock, random: RandomSource) {
        super();
        this.state = new EntryState(identity, clock, random);
    }

    /** The configuration in force. */
    public get configuration(): DispatchConfiguration | undefined {
        return this.state.configuration;
    }

    /** Number of jobs without an answer. */
    public get openJobs(): number {
        return this.state.jobs.size;
    }

    /** True when callers can be served: a configuration is in force and a worker takes tasks. */
    public get isReady(): boolean {
        const { state } = this;
        if (state.configuration === undefined || state.isShuttingDown) {
            return false;
        }
        for (const row of state.agents.values()) {
            if (isUsable(state, row)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds the route of a request.
     *
     * @param host - host name of the request, without a port
     * @param path - path of the request, without a query
     * @returns the route, or undefined when no job may come in there
     */
    public findRoute(host: string, path: string): Route | undefined {
        return this.state.configuration === undefined ? undefined : findRoute(this.state.configuration, host, path);
    }

    /**
     * Tells whether a job is known that has no answer yet.
     *
     * @param id - the job
     * @returns its progress, or undefined when there is none
     */
    public describeJob(id: string): "waiting" | "started" | undefined {
        const row = this.state.jobs.get(id);
        if (row === undefined) {
            return undefined;
        }
        return mayHaveStarted(row) ? "started" : "waiting";
    }

    /**
     * Counts the jobs of a route that have not begun.
     *
     * @param route - name of the route
     * @returns the number
     */
    public countWaiting(route: string): number {
        let count = 0;
        for (const row of this.state.jobs.values()) {
            count += row.job.route === route && !mayHaveStarted(row) ? 1 : 0;
        }
        return count;
    }

    /** {@inheritDoc Core.accept} */
    public override accept(input: EntryInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc Core.tick} */
    public override tick(): readonly EntryOutput[] {
        const { state } = this;
        const inputs = this.inputs;
        this.inputs = [];
        for (const input of inputs) {
            this.receive(input);
        }
        expireAgents(state);
        forgetEndedRuns(state);
        placeTasks(state);
        giveUpJobs(state);
        sendFrames(state);
        return state.outputs.splice(0);
    }

    /** {@inheritDoc Core.nextWakeMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        const latest = this.state.now + tickMilliseconds;
        return Math.min(latest, nextGiveUp(this.state) ?? latest);
    }

    private receive(input: EntryInput): void {
        const { state } = this;
        switch (input.kind) {
            case "submitted":
                return receiveJob(state, input.request, input.job);
            case "caller-gone":
                return receiveCallerGone(state, input.request, input.job);
            case "cancelled":
                return receiveCancellation(state, input.job);
            case "frame":
                return receiveAgentFrame(state, input.connection, input.frame);
            case "disconnected":
                return receiveDisconnected(state, input.connection);
            case "configured":
                return receiveConfiguration(state, input.configuration, input.source);
            case "entries-found":
                input.addresses.forEach(address => state.entryAddresses.add(address));
                return;
            case "shut-down":
                state.isShuttingDown = true;
                return;
            case "interrupt":
                interruptJobs(state);
        }
    }
}

/** Forgets runs of ended jobs that cannot be at work any more. */
function forgetEndedRuns(state: EntryState): void {
    for (const [job, runs] of [...state.endingRuns.entries()]) {
        if ([...runs.values()].every(endsAt => state.now > endsAt)) {
            state.endingRuns.delete(job);
        }
    }
}
