/**
 * Network between the processes of a simulated deployment, with fault injection.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { DeploymentObserver } from "./deploymentObserver.js";
import type { Latencies } from "./deploymentSettings.js";
import type { EventQueue } from "./eventQueue.js";
import type { MessageCounts } from "./messageCounts.js";

/** State of a simulated process. */
export type ProcessState = "running" | "frozen" | "stopped";

/** A process that is attached to the network. */
export interface NetworkEndpoint {
    readonly address: PeerAddress;
    readonly availabilityZone: string;
    readonly state: ProcessState;
    /**
     * Receives a batch of messages.
     *
     * @param batch - the received batch
     */
    acceptBatch(batch: PeerBatch): void;
    /**
     * Receives the notice that an address that the process sent to is unreachable.
     *
     * @param address - the unreachable address
     */
    acceptUnreachable(address: PeerAddress): void;
}

/** Fault of one direction of a link. */
export interface LinkFault {
    /** Fraction of the batches that are lost, from 0 to 1. */
    readonly lossShare: number;
    /** Additional fixed delay, in milliseconds. */
    readonly extraMilliseconds: number;
    /** Maximum of the additional random delay, in milliseconds; it reorders batches. */
    readonly jitterMilliseconds: number;
    /** Number of times that each batch is delivered. */
    readonly copies: number;
    /** Time between two copies of a batch, in milliseconds. */
    readonly copyGapMilliseconds: number;
    /**
     * Time until which batches are held back, in milliseconds since the epoch. It simulates a silent connection that is
     * replaced at that time.
     */
    readonly heldUntilMilliseconds: number;
}

/** A link without faults; a scenario overrides the fields that matter to it. */
export const healthyLink: LinkFault = {
    lossShare: 0,
    extraMilliseconds: 0,
    jitterMilliseconds: 0,
    copies: 1,
    copyGapMilliseconds: 5,
    heldUntilMilliseconds: 0,
};

/** Pending notice to a sender that an address is unreachable. */
interface UnreachableNotice {
    readonly sender: NetworkEndpoint;
    readonly destination: PeerAddress;
}

/** Delivers batches between processes. */
export class Network {
    private readonly endpoints = new Map<PeerAddress, NetworkEndpoint>();
    private readonly faults = new Map<string, LinkFault>();
    private defaultFault: LinkFault | undefined;

    /**
     * @param queue - event queue of the deployment
     * @param clock - clock of the deployment
     * @param random - random source for losses and jitter
     * @param latencies - latencies of the deployment
     * @param counts - counts the sent batches
     * @param observer - notified of sent and received batches
     */
    public constructor(
        private readonly queue: EventQueue,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly latencies: Latencies,
        private readonly counts: MessageCounts,
        private readonly observer: DeploymentObserver,
    ) {}

    /**
     * Attaches a process at its address.
     *
     * @param endpoint - process that receives the batches sent to its address
     */
    public attach(endpoint: NetworkEndpoint): void {
        this.endpoints.set(endpoint.address, endpoint);
    }

    /**
     * Sets or removes the fault of one direction of a link.
     *
     * @param from - address of the sender
     * @param to - address of the receiver
     * @param fault - the fault, or undefined to remove it
     */
    public setFault(from: PeerAddress, to: PeerAddress, fault: LinkFault | undefined): void {
        if (fault === undefined) {
            this.faults.delete(`${from}>${to}`);
        }
        else {
            this.faults.set(`${from}>${to}`, fault);
        }
    }

    /**
     * Sets or removes the fault of all links that have none of their own.
     *
     * @param fault - the fault, or undefined to remove it
     */
    public setFaultEverywhere(fault: LinkFault | undefined): void {
        this.defaultFault = fault;
    }

    /**
     * Sends a batch.
     *
     * @param sender - process that sends the batch
     * @param destination - address of the receiver
     * @param batch - batch to deliver
     */
    public send(sender: NetworkEndpoint, destination: PeerAddress, batch: PeerBatch): void {
        this.counts.countBatch(batch);
        this.observer.batchSent?.(destination, batch);
        const endpoint = this.endpoints.get(destination);
        if (endpoint === undefined) {
            this.scheduleUnreachable(sender, destination, 2 * this.latencies.betweenZones);
            return;
        }
        const latency = endpoint.availabilityZone === sender.availabilityZone
            ? this.latencies.withinZone
            : this.latencies.betweenZones;
        const fault = this.faults.get(`${sender.address}>${destination}`) ?? this.defaultFault;
        if (fault === undefined) {
            this.queue.schedule(this.clock.nowMilliseconds() + latency, this.deliver, { sender, endpoint, batch });
            return;
        }
        this.sendWithFault(sender, endpoint, batch, latency, fault);
    }

    private sendWithFault(
        sender: NetworkEndpoint,
        endpoint: NetworkEndpoint,
        batch: PeerBatch,
        latency: number,
        fault: LinkFault,
    ): void {
        if (fault.lossShare > 0 && this.random.nextFraction() < fault.lossShare) {
            this.scheduleUnreachable(sender, endpoint.address, this.latencies.connectionTimeout);
            return;
        }
        for (let copy = 0; copy < fault.copies; copy += 1) {
            const jitter = this.random.nextFraction() * fault.jitterMilliseconds;
            const delay = latency + fault.extraMilliseconds + jitter + copy * fault.copyGapMilliseconds;
            const sentAt = Math.max(this.clock.nowMilliseconds(), fault.heldUntilMilliseconds);
            this.queue.schedule(sentAt + delay, this.deliver, { sender, endpoint, batch });
        }
    }

    private readonly deliver = (delivery: Delivery): void => {
        const { sender, batch } = delivery;
        // Another process may have taken over the address while the batch was in transit.
        const endpoint = this.endpoints.get(delivery.endpoint.address) ?? delivery.endpoint;
        if (endpoint.state === "stopped") {
            this.scheduleUnreachable(sender, endpoint.address, this.latencies.betweenZones);
            return;
        }
        if (endpoint.state === "frozen") {
            this.scheduleUnreachable(sender, endpoint.address, this.latencies.connectionTimeout);
        }
        this.observer.batchArrived?.(endpoint.address, batch);
        endpoint.acceptBatch(batch);
    };

    private scheduleUnreachable(sender: NetworkEndpoint, destination: PeerAddress, delay: number): void {
        const notice: UnreachableNotice = { sender, destination };
        this.queue.schedule(this.clock.nowMilliseconds() + delay, this.notifyUnreachable, notice);
    }

    private readonly notifyUnreachable = (notice: UnreachableNotice): void => {
        notice.sender.acceptUnreachable(notice.destination);
    };
}

/** A batch in transit. */
interface Delivery {
    readonly sender: NetworkEndpoint;
    readonly endpoint: NetworkEndpoint;
    readonly batch: PeerBatch;
}
