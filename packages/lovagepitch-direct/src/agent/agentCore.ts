/**
 * Decisions of an agent: which runs it starts and stops on its worker, and what it reports to entries.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { Core } from "@lovagepitch/utils/core";
import { maximumDeferredInputs } from "../model/deferredInputs.js";
import { receiveInputs } from "../model/receiveInputs.js";
import { heartbeatIntervalMilliseconds, idleHeartbeatIntervalMilliseconds } from "../model/timing.js";
import { getUpdateIntervalMilliseconds } from "../policies/updateInterval.js";
import type { AgentInput, AgentOutput } from "./agentPorts.js";
import { type AgentIdentity, AgentState } from "./agentState.js";
import { sendFrames } from "./entryFrames.js";
import { stopOrphanedRuns } from "./entryLeases.js";
import {
    connectEntries,
    findNextConnectAt,
    receiveConnected,
    receiveDisconnected,
    receiveEntryFrame,
} from "./entryLinks.js";
import { isUrgentInput } from "./inputUrgency.js";
import { closeUnusedConnections, receiveEntryLocations, updatePartners } from "./knownEntries.js";
import { queueCheckIntervalMilliseconds, startQueuedOrders } from "./orderQueue.js";
import { findNextRepeatAt, receiveStartAnswer, repeatLateStarts, sendPendingStarts } from "./runOrders.js";
import { stopStalledRuns } from "./stalledRuns.js";
import { receiveStopAnswer, sendDueStops } from "./stopOrders.js";
import { receiveReport, receiveWorkerLeft, removeLeftWorker, restoreWorker } from "./workerRegistration.js";
import { expireWorkerLease, findNextViewAt, receiveView, receiveViewFailure, requestView } from "./workerViews.js";

/** Longest time between ticks, in milliseconds; bounds the delay until silence, stalls and due resends are detected. */
const maximumTickIntervalMilliseconds = heartbeatIntervalMilliseconds / 2;

/** Longest time between ticks without runs, in milliseconds; heartbeats are rarer, and connections due have own timers. */
const idleTickIntervalMilliseconds = idleHeartbeatIntervalMilliseconds / 2;

/** Core of an agent: turns inputs into worker calls, frames and log lines, without input or output of its own. */
export class AgentCore extends Core<AgentInput, AgentOutput> {
    private readonly state: AgentState;
    private readonly lastSentAt = new Map<string, number>();
    private inputs: AgentInput[] = [];

    /**
     * @param identity - incarnation, instance and availability zone of the process
     * @param clock - monotonic clock
     * @param reportIntervalMilliseconds - time between two reports of the worker; undefined when it is not known
     */
    public constructor(identity: AgentIdentity, clock: Clock, reportIntervalMilliseconds?: number) {
        super();
        this.state = new AgentState(identity, clock, reportIntervalMilliseconds);
    }

    /** Number of evacuated zones that the agent knows. */
    public get evacuatedZones(): number {
        return this.state.evacuations.zones.length;
    }

    /** Speed of the worker according to its ended runs, the usual one being 1; 0 while it is unknown. */
    public get workerSpeed(): number {
        return this.state.runSpeed.value ?? 0;
    }

    /** {@inheritDoc Core.accept} */
    public override accept(input: AgentInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc Core.isUrgent} */
    public override isUrgent(input: AgentInput): boolean {
        return this.inputs.length >= maximumDeferredInputs || isUrgentInput(this.state, input);
    }

    /** {@inheritDoc Core.tick} */
    public override tick(): readonly AgentOutput[] {
        const { state } = this;
        const inputs = this.inputs;
        this.inputs = [];
        state.beginTick();
        receiveInputs(inputs, input => this.receive(input), (...line) => state.log(...line));
        expireWorkerLease(state);
        removeLeftWorker(state);
        stopOrphanedRuns(state);
        stopStalledRuns(state);
        startQueuedOrders(state);
        sendPendingStarts(state);
        repeatLateStarts(state);
        sendDueStops(state);
        requestView(state);
        updatePartners(state);
        closeUnusedConnections(state);
        connectEntries(state);
        sendFrames(state, this.lastSentAt);
        this.finishShutdown();
        state.endTick();
        return state.outputs.splice(0);
    }

    /** {@inheritDoc Core.nextWakeAtMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        const { state } = this;
        if (state.hasStopped) {
            return undefined;
        }
        let interval = getTickIntervalMilliseconds(state);
        for (const row of state.entries.values()) {
            if (row.connection === "open" && row.hasPendingUpdate) {
                interval = Math.min(interval, getUpdateIntervalMilliseconds(row.awaitsCapacity));
            }
        }
        const never = Number.POSITIVE_INFINITY;
        return Math.min(
            state.now + interval,
            findNextConnectAt(state) ?? never,
            findNextRepeatAt(state) ?? never,
            findNextViewAt(state) ?? never,
        );
    }

    private receive(input: AgentInput): void {
        const { state } = this;
        switch (input.kind) {
            case "worker-reported":
                return receiveReport(state, input.report);
            case "worker-left":
                return receiveWorkerLeft(state, input.worker, input.startedAt);
            case "worker-restored":
                return restoreWorker(state, input.registration);
            case "view":
                return receiveView(state, input.call, input.view);
            case "view-failed":
                return receiveViewFailure(state, input.call, input.failure);
            case "start-answered":
                state.startsInFlight -= 1;
                return input.life === state.worker?.life
                    ? receiveStartAnswer(state, input.run, input.outcome, input.receivedAt)
                    : undefined;
            case "stop-answered":
                state.stopsInFlight -= 1;
                return input.life === state.worker?.life
                    ? receiveStopAnswer(state, input.run, input.outcome)
                    : undefined;
            case "connected":
                return receiveConnected(state, input.address);
            case "disconnected":
                return receiveDisconnected(state, input.address, input.wasRefused);
            case "frame":
                return receiveEntryFrame(state, input.address, input.frame, input.receivedAt);
            case "entries-found":
                return receiveEntryLocations(state, input.entries);
            case "shut-down":
                state.isShuttingDown = true;
                state.markUpdatePending();
        }
    }

    private finishShutdown(): void {
        const { state } = this;
        if (state.isShuttingDown && !state.hasStopped && state.runs.size === 0 && state.queuedOrders.size === 0) {
            state.hasStopped = true;
            state.outputs.push({ kind: "stopped" });
        }
    }
}

function getTickIntervalMilliseconds(state: AgentState): number {
    if (state.queuedOrders.size > 0) {
        return queueCheckIntervalMilliseconds;
    }
    return state.runs.size > 0 ? maximumTickIntervalMilliseconds : idleTickIntervalMilliseconds;
}
