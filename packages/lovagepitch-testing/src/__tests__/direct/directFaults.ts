/**
 * Faults of a simulated deployment.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import type { DirectDeployment } from "../../direct/directDeployment.js";

/**
 * Starts a random fault.
 *
 * @param deployment - deployment of two entries and four workers
 * @param random - source of the fault and its target
 * @param keepsIds - true when some workers restart under the id that they had
 * @returns a function that ends the fault
 */
export function injectRandomFault(deployment: DirectDeployment, random: RandomSource, keepsIds = false): () => void {
    const index = random.nextInteger(4);
    const entry = random.nextInteger(2);
    switch (random.nextInteger(keepsIds ? 13 : 10)) {
        case 0:
            deployment.fleet.restart(index);
            return () => undefined;
        case 1:
            deployment.killAgent(index);
            return () => deployment.restartAgent(index, entry === 0 ? "report" : "record");
        case 2:
            setFault(deployment, index, { orderDelayMilliseconds: 500 + random.nextInteger(3000) });
            return () => setFault(deployment, index, { orderDelayMilliseconds: undefined });
        case 3:
            setFault(deployment, index, { dropsResponses: true });
            return () => setFault(deployment, index, { dropsResponses: false });
        case 4:
            setFault(deployment, index, { isPartitioned: true });
            return () => setFault(deployment, index, { isPartitioned: false });
        case 5:
            setFault(deployment, index, { isStalled: true });
            return () => setFault(deployment, index, { isStalled: false });
        case 6:
            deployment.setFrozen("entry", entry, true);
            return () => deployment.setFrozen("entry", entry, false);
        case 7:
            deployment.setFrozen("agent", index, true);
            return () => deployment.setFrozen("agent", index, false);
        case 8:
            deployment.setPartitioned("entry", entry, true);
            return () => deployment.setPartitioned("entry", entry, false);
        case 10:
            deployment.fleet.restartWithSameId(index, entry === 0);
            return () => undefined;
        case 11:
            deployment.killAgent(index);
            deployment.fleet.restartWithSameId(index, false);
            return () => deployment.restartAgent(index, entry === 0 ? "report" : "record");
        case 12:
            setFault(deployment, index, { orderDelayMilliseconds: 20 + random.nextInteger(1500) });
            deployment.advance(20 + random.nextInteger(200));
            deployment.fleet.restartWithSameId(index, entry === 0);
            return () => undefined;
        default:
            deployment.silenceConnections();
            return () => undefined;
    }
}

/**
 * Starts a random fault around workers that crash or whose capacity changes.
 *
 * @param deployment - deployment of two entries and four workers
 * @param random - source of the fault and its target
 * @returns a function that ends the fault
 */
export function injectCrashFault(deployment: DirectDeployment, random: RandomSource): () => void {
    const index = random.nextInteger(4);
    const entry = random.nextInteger(2);
    switch (random.nextInteger(8)) {
        case 0:
            deployment.fleet.crash(index);
            return () => undefined;
        case 1:
            deployment.fleet.setCapacity(index, 4000 + random.nextInteger(12) * 1000);
            return () => deployment.fleet.setCapacity(index, 16_000);
        case 2:
            deployment.killEntry(entry);
            return () => deployment.restartEntry(entry);
        case 3:
            deployment.fleet.setCapacity(index, 4000 + random.nextInteger(8) * 1000);
            deployment.killAgent(index);
            return () => deployment.restartAgent(index, entry === 0 ? "report" : "record");
        case 4:
            deployment.losesRecords = true;
            return () => {
                deployment.losesRecords = false;
            };
        default:
            return injectRandomFault(deployment, random);
    }
}

/**
 * Lets a random worker refuse calls while its tasks run on.
 *
 * @param deployment - deployment of four workers
 * @param random - source of the worker and of the time after which the refusal ends by itself
 * @returns a function that ends the fault
 */
export function injectRefusal(deployment: DirectDeployment, random: RandomSource): () => void {
    const index = random.nextInteger(4);
    const worker = deployment.workers[index];
    const end = (): void => {
        if (worker !== undefined) {
            worker.faults.refusesConnections = false;
        }
    };
    setFault(deployment, index, { refusesConnections: true });
    deployment.queue.schedule(deployment.clock.nowMilliseconds() + 1 + random.nextInteger(1500), end, undefined);
    return end;
}

/**
 * Changes faults of a worker.
 *
 * @param deployment - deployment of the worker
 * @param index - index of the worker
 * @param fault - faults to set
 */
export function setFault(
    deployment: DirectDeployment,
    index: number,
    fault: Partial<DirectDeployment["workers"][0]["faults"]>,
): void {
    const worker = deployment.workers[index];
    assert.ok(worker);
    Object.assign(worker.faults, fault);
}
