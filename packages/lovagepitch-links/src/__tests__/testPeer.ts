/**
 * A process with links and a minimal core, which answers pings and records received batches.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { OutgoingMessage, PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import { ManualClock } from "@lovagepitch/utils/clock";
import { setTimeout as sleep } from "node:timers/promises";
import type { LinkLimits } from "../linkLimits.js";
import { PeerLinks } from "../peerLinks.js";

const pollMilliseconds = 2;

/** A peer with a manual clock whose ticks can be disabled. */
export class TestPeer {
    /** Received batches, in order. */
    public readonly batches: PeerBatch[] = [];
    /** Addresses that were reported as unreachable, in order. */
    public readonly unreachable: PeerAddress[] = [];
    /** The clock of the links. */
    public readonly clock = new ManualClock(0);
    /** Links under test. */
    public readonly links: PeerLinks;
    /** Message that answers each ping. */
    public answer: PeerMessage = { type: "pong" };
    /** Whether a tick runs after each received batch. */
    public isTickEnabled = true;

    /**
     * @param name - incarnation of the peer
     * @param limits - overrides of the default limits
     */
    public constructor(name: string, limits: Partial<LinkLimits> = {}) {
        this.links = new PeerLinks({
            identity: { address: "127.0.0.1:0", incarnation: name },
            role: "entry",
            address: "127.0.0.1",
            port: 0,
            clock: this.clock,
            onBatch: batch => this.receive(batch),
            onPeerUnreachable: address => this.unreachable.push(address),
            getConfigurationVersion: () => 7,
            limits,
        });
    }

    /** Address of the peer, once it listens. */
    public get address(): PeerAddress {
        return this.links.identity.address;
    }

    /** Received messages, in order. */
    public get messages(): readonly PeerMessage[] {
        return this.batches.flatMap(batch => batch.messages);
    }

    /** Sends messages to one destination in one tick. */
    public send(destination: PeerAddress, messages: readonly PeerMessage[]): void {
        this.links.send(messages.map(message => ({ destination, message })));
    }

    private receive(batch: PeerBatch): void {
        this.batches.push(batch);
        if (!this.isTickEnabled) {
            return;
        }
        const pings = batch.messages.filter(message => message.type === "ping");
        const replies = pings.map((): OutgoingMessage => ({
            destination: batch.sender.address,
            message: this.answer,
        }));
        setImmediate(() => this.links.send(replies));
    }
}

/** Waits until a condition holds. It has no timeout of its own; the timeout of the step applies. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(pollMilliseconds);
    }
}
