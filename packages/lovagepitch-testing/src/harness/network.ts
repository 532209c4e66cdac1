/**
 * Links between processes of a deployment in one process, with their faults.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { DeploymentObserver } from "./deploymentObserver.js";
import type { Latencies } from "./deploymentSettings.js";
import type { EventQueue } from "./eventQueue.js";
import type { MessageCounts } from "./messageCounts.js";

/** Whether a process runs, is paused, or is gone. */
export type ProcessState = "running" | "frozen" | "stopped";

/** A process as the network sees it. */
export interface NetworkEndpoint {
    readonly address: PeerAddress;
    readonly availabilityZone: string;
    readonly state: ProcessState;
    /**
     * Hands over a batch.
     *
     * @param batch - the messages
     */
    acceptBatch(batch: PeerBatch): void;
    /**
     * Says that an address cannot be reached.
     *
     * @param address - the address
     */
    acceptUnreachable(address: PeerAddress): void;
}

/** What is wrong with one direction of a link. */
export interface LinkFault {
    /** Share of the batches that are lost, from 0 to 1. */
    readonly lossShare: number;
    /** Additional delay in milliseconds. */
    readonly extraMilliseconds: number;
    /** Random additional delay in milliseconds, which reorders batches. */
    readonly jitterMilliseconds: number;
    /** How often each batch arrives. */
    readonly copies: number;
    /** Time between two copies in milliseconds. */
    readonly copyGapMilliseconds: number;
    /** Instant before which nothing arrives, in milliseconds since the epoch: a silent connection is replaced then. */
    readonly heldUntilMilliseconds: number;
}

/** A link without a fault; a scenario replaces what it needs. */
export const healthyLink: LinkFault = {
    lossShare: 0,
    extraMilliseconds: 0,
    jitterMilliseconds: 0,
    copies: 1,
    copyGapMilliseconds: 5,
    heldUntilMilliseconds: 0,
};

/** A notice that an address did not answer. */
interface UnreachableNotice {
    readonly sender: NetworkEndpoint;
    readonly destination: PeerAddress;
}

/** Everything that lies between the processes. */
export class Network {
    private readonly endpoints = new Map<PeerAddress, NetworkEndpoint>();
    private readonly faults = new Map<string, LinkFault>();
    private defaultFault: LinkFault | undefined;

    /**
     * @param queue - events of the deployment
     * @param clock - its clock
     * @param random - source of losses and jitter
     * @param latencies - its times
     * @param counts - counts what is sent
     * @param observer - watches what is sent
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
     * @param endpoint - the process
     */
    public attach(endpoint: NetworkEndpoint): void {
        this.endpoints.set(endpoint.address, endpoint);
    }

    /**
     * Puts a fault on one direction of a link, or takes it off.
     *
     * @param from - sending address
     * @param to - receiving address
     * @param fault - the fault, or undefined for none
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
     * Puts a fault on every link that has none of its own, or takes it off.
     *
     * @param fault - the fault, or undefined for none
     */
    public setFaultEverywhere(fault: LinkFault | undefined): void {
        this.defaultFault = fault;
    }

    /**
     * Sends a batch.
     *
     * @param sender - the sending process
     * @param destination - address it goes to
     * @param batch - the messages
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
        // The address may have changed hands while the batch was on its way.
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

/** A batch on its way. */
interface Delivery {
    readonly sender: NetworkEndpoint;
    readonly endpoint: NetworkEndpoint;
    readonly batch: PeerBatch;
}
