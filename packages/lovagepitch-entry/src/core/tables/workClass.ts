/**
 * Work classes: the tasks of one service and kind, which may run on the same agents.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { KindManifest } from "@lovagepitch/types/manifest";
import type { DrainRateEstimator } from "../policies/drainRateEstimator.js";
import type { RunTimeEstimator } from "../policies/runTimeEstimator.js";
import type { WaitingQueue } from "./waitingQueue.js";

/** One work class of the current configuration. */
export interface WorkClass {
    readonly key: string;
    readonly service: string;
    readonly kind: KindManifest;
    /** Agents in a permitted availability zone whose backend server offers the service. */
    readonly candidates: readonly PeerAddress[];
    readonly queue: WaitingQueue;
    readonly drainRate: DrainRateEstimator;
    readonly runTime: RunTimeEstimator;
}

/**
 * Creates the key of a work class.
 *
 * @param service - name of the service
 * @param kind - name of the kind
 * @returns the key of its row
 */
export function createWorkClassKey(service: string, kind: string): string {
    return `${service}/${kind}`;
}
