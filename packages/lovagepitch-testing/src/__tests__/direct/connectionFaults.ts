/**
 * Faults around the connections of a simulated deployment of two entries and four workers, for callers that send their
 * jobs again.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { DirectDeployment } from "../../direct/directDeployment.js";
import type { WorkerFaults } from "../../direct/fakeWorker.js";
import { getAt } from "../../direct/getAt.js";
import { setFault } from "./directFaults.js";
import type { RepeatingCallers } from "./repeatingCallers.js";

/** What a fault acts on. */
interface FaultTarget {
    readonly deployment: DirectDeployment;
    readonly callers: RepeatingCallers;
    readonly random: RandomSource;
    readonly entry: number;
    readonly agent: number;
}

/** Starts a fault; the result ends it. */
type Fault = (target: FaultTarget) => (() => void) | undefined;

/** A fault that has started. */
export interface StartedFault {
    /** Its name and target, for the message of a test that fails. */
    readonly description: string;
    readonly end: () => void;
}

const directions = ["to-agent", "to-entry", "both"] as const;

const connectionFaults: readonly Fault[] = [
    function resetConnection({ deployment, entry, agent }) {
        deployment.linkNetwork.close((one, other) => one === entry && other === agent);
        return undefined;
    },
    function resetConnectionsOfEntry({ deployment, entry }) {
        deployment.linkNetwork.close(one => one === entry);
        return undefined;
    },
    function resetAllConnections({ deployment }) {
        deployment.linkNetwork.close(() => true);
        return undefined;
    },
    function silenceConnection({ deployment, random, entry, agent }) {
        const direction = directions[random.nextInteger(3)];
        deployment.linkNetwork.silence((one, other) => one === entry && other === agent, direction);
        return undefined;
    },
    function silenceConnectionsOfEntry({ deployment, random, entry }) {
        deployment.linkNetwork.silence(one => one === entry, directions[random.nextInteger(3)]);
        return undefined;
    },
    function replaceDelayedConnections({ deployment, random, entry, agent }) {
        const matches = (one: number, other: number): boolean => one === entry && other === agent;
        deployment.linkNetwork.delayToEntry(matches, 20 + random.nextInteger(1500));
        deployment.advance(random.nextInteger(300));
        deployment.linkNetwork.close(matches);
        return undefined;
    },
    function replaceDelayedConnectionsOfEntry({ deployment, random, entry }) {
        deployment.linkNetwork.close(one => one === entry);
        deployment.advance(2);
        deployment.linkNetwork.delayToEntry(one => one === entry, 20 + random.nextInteger(800));
        deployment.advance(random.nextInteger(100));
        deployment.linkNetwork.close(one => one === entry);
        return undefined;
    },
    function partitionAgent({ deployment, agent }) {
        deployment.setPartitioned("agent", agent, true);
        return () => deployment.setPartitioned("agent", agent, false);
    },
    function partitionEntry({ deployment, entry }) {
        deployment.setPartitioned("entry", entry, true);
        return () => deployment.setPartitioned("entry", entry, false);
    },
];

const processFaults: readonly Fault[] = [
    function killEntry({ callers, entry }) {
        callers.killEntry(entry);
        return () => callers.restartEntry(entry);
    },
    function killEntryThatAgentFindsLate({ deployment, callers, random, entry, agent }) {
        callers.killEntry(entry);
        deployment.setPartitioned("agent", agent, true);
        deployment.advance(random.nextInteger(400));
        callers.restartEntry(entry);
        return () => deployment.setPartitioned("agent", agent, false);
    },
    function killAgent({ deployment, random, agent }) {
        deployment.killAgent(agent);
        return () => deployment.restartAgent(agent, random.nextInteger(2) === 0 ? "report" : "record");
    },
    function freezeEntry({ callers, entry }) {
        callers.setFrozen(entry, true);
        return () => callers.setFrozen(entry, false);
    },
    function freezeAgent({ deployment, agent }) {
        deployment.setFrozen("agent", agent, true);
        return () => deployment.setFrozen("agent", agent, false);
    },
    function restartWorker({ deployment, agent }) {
        deployment.fleet.restart(agent);
        return undefined;
    },
];

const workerFaults: readonly Fault[] = [
    createWorkerFault(() => ({ rejectsStops: true }), { rejectsStops: false }),
    createWorkerFault(random => ({ stopDelayMilliseconds: 200 + random.nextInteger(3000) }), {
        stopDelayMilliseconds: undefined,
    }),
    createWorkerFault(random => ({ orderDelayMilliseconds: 200 + random.nextInteger(3000) }), {
        orderDelayMilliseconds: undefined,
    }),
    createWorkerFault(random => ({ unansweredCallInterval: 2 + random.nextInteger(6) }), {
        unansweredCallInterval: undefined,
    }),
    createWorkerFault(() => ({ dropsResponses: true }), { dropsResponses: false }),
    createWorkerFault(() => ({ isPartitioned: true }), { isPartitioned: false }),
    createWorkerFault(() => ({ refusesConnections: true }), { refusesConnections: false }),
    createWorkerFault(() => ({ isStalled: true }), { isStalled: false }),
];

function createWorkerFault(
    choose: (random: RandomSource) => Partial<WorkerFaults>,
    end: Partial<WorkerFaults>,
): Fault {
    const start: Fault = ({ deployment, random, agent }) => {
        setFault(deployment, agent, choose(random));
        return () => setFault(deployment, agent, end);
    };
    return Object.defineProperty(start, "name", { value: Object.keys(end).join() });
}

/**
 * Starts a random fault; half of them concern connections.
 *
 * @param deployment - deployment of two entries and four workers
 * @param callers - its callers
 * @param random - source of the fault and its target
 * @returns the fault
 */
export function injectConnectionFault(
    deployment: DirectDeployment,
    callers: RepeatingCallers,
    random: RandomSource,
): StartedFault {
    const kinds = [connectionFaults, connectionFaults, processFaults, workerFaults];
    const faults = kinds[random.nextInteger(kinds.length)] ?? connectionFaults;
    const fault = getAt(faults, random.nextInteger(faults.length));
    const target = { deployment, callers, random, entry: random.nextInteger(2), agent: random.nextInteger(4) };
    const startedAt = deployment.clock.nowMilliseconds();
    const end = fault(target) ?? (() => undefined);
    return { description: `${startedAt} ${fault.name}, entry ${target.entry}, agent ${target.agent}`, end };
}

/**
 * Starts a random fault of the connections between two entries that pass jobs on to each other.
 *
 * @param deployment - deployment of two entries
 * @param random - source of the fault and its target
 * @returns the fault
 */
export function injectForwardingFault(deployment: DirectDeployment, random: RandomSource): StartedFault {
    const startedAt = deployment.clock.nowMilliseconds();
    const client = random.nextInteger(2);
    const matches = (one: number): boolean => one === client;
    const end = (): void => undefined;
    if (random.nextInteger(2) === 0) {
        deployment.entryNetwork.closeSome(matches);
        return { description: `${startedAt} resetForwarding, entry ${client}`, end };
    }
    const direction = directions[random.nextInteger(directions.length)];
    deployment.entryNetwork.silence(matches, direction);
    return { description: `${startedAt} silenceForwarding, entry ${client}, ${direction}`, end };
}
