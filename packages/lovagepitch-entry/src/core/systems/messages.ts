/**
 * Dispatches the messages of other processes to the systems that handle them.
 */
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import { applyAnnouncement, recordAgentMessage, updateAgentLoad } from "./agentRegistry.js";
import { recordOffer } from "./bidding.js";
import { applyForwardResult, handleForwardRefused, handleForwardRequest, recordForwardAccepted } from "./forwarding.js";
import { applySeal } from "./outcomeCollection.js";
import { applyReports } from "./taskReports.js";
import { applyManifest } from "./workClasses.js";

/** Minimum time between requests for a newer manifest. */
const manifestRequestIntervalMilliseconds = 250;

/**
 * Handles a batch of messages.
 *
 * @param state - entry state, updated in place
 * @param batch - messages of one peer, with its role and configuration version
 */
export function handleBatch(state: EntryState, batch: PeerBatch): void {
    if (batch.role === "agent") {
        recordAgentMessage(state, batch.sender);
    }
    for (const message of batch.messages) {
        handleMessage(state, batch, message);
    }
    requestNewerManifest(state, batch);
}

function handleMessage(state: EntryState, batch: PeerBatch, message: PeerMessage): void {
    const sender = batch.sender;
    switch (message.type) {
        case "announceAgent":
            applyAnnouncement(state, sender, message);
            return;
        case "reportTasks":
            applyReports(state, sender, message);
            updateAgentLoad(state, sender, message.load);
            recordOffer(state, sender.address, message.offeredSlots);
            return;
        case "offerSlots":
            updateAgentLoad(state, sender, message.load);
            recordOffer(state, sender.address, message.slots);
            return;
        case "reportSeal":
            applySeal(state, sender.incarnation, message);
            return;
        case "forwardRequest":
            handleForwardRequest(state, sender, message);
            return;
        case "forwardAccepted":
            recordForwardAccepted(state, message.submission);
            return;
        case "forwardRefused":
            handleForwardRefused(state, message.submission, "its owner entry was replaced by a new incarnation");
            return;
        case "forwardResult":
            applyForwardResult(state, message);
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
            applyManifest(state, message.manifest);
            return;
        default:
            // Messages that only agents handle.
            return;
    }
}

function requestNewerManifest(state: EntryState, batch: PeerBatch): void {
    const isDue = state.now - state.manifestRequestedAtMilliseconds >= manifestRequestIntervalMilliseconds;
    if (batch.configurationVersion > state.configurationVersion && isDue) {
        state.manifestRequestedAtMilliseconds = state.now;
        state.send(batch.sender.address, { type: "requestManifest" });
    }
}
