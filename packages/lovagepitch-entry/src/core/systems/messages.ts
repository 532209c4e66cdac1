/**
 * Hands each message of another process to its system.
 */
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import { announceAgent, hearAgent, updateLoad } from "./agentRegistry.js";
import { acceptOffer } from "./bidding.js";
import { acceptSeal } from "./collecting.js";
import { acceptForward, acceptForwardResult, refuseForward, serveForward } from "./forwarding.js";
import { acceptReports } from "./taskReports.js";
import { acceptManifest } from "./workClasses.js";

/** Time between requests for a newer manifest. */
const manifestRequestMilliseconds = 250;

/**
 * Takes in a batch.
 *
 * @param state - the entry's state
 * @param batch - the batch
 */
export function acceptBatch(state: EntryState, batch: PeerBatch): void {
    if (batch.role === "agent") {
        hearAgent(state, batch.sender);
    }
    for (const message of batch.messages) {
        acceptMessage(state, batch, message);
    }
    requestNewerManifest(state, batch);
}

function acceptMessage(state: EntryState, batch: PeerBatch, message: PeerMessage): void {
    const sender = batch.sender;
    switch (message.type) {
        case "announceAgent":
            announceAgent(state, sender, message);
            return;
        case "reportTasks":
            acceptReports(state, sender, message);
            updateLoad(state, sender, message.load);
            acceptOffer(state, sender.address, message.offeredSlots);
            return;
        case "offerSlots":
            updateLoad(state, sender, message.load);
            acceptOffer(state, sender.address, message.slots);
            return;
        case "reportSeal":
            acceptSeal(state, sender.incarnation, message);
            return;
        case "forwardRequest":
            serveForward(state, sender, message);
            return;
        case "forwardAccepted":
            acceptForward(state, message.submission);
            return;
        case "forwardRefused":
            refuseForward(state, message.submission, "its keeper was replaced");
            return;
        case "forwardResult":
            acceptForwardResult(state, message);
            return;
        case "ping":
            state.send(sender.address, { type: "pong" });
            return;
        case "requestManifest":
            if (state.manifest !== undefined) {
                state.send(sender.address, { type: "sendManifest", manifest: state.manifest });
            }
            return;
        case "sendManifest":
            acceptManifest(state, message.manifest);
            return;
        default:
            // Messages that only agents handle.
            return;
    }
}

function requestNewerManifest(state: EntryState, batch: PeerBatch): void {
    const isDue = state.now - state.manifestAskedAtMilliseconds >= manifestRequestMilliseconds;
    if (batch.configurationVersion > state.configurationVersion && isDue) {
        state.manifestAskedAtMilliseconds = state.now;
        state.send(batch.sender.address, { type: "requestManifest" });
    }
}
