/**
 * Dispatch of a tick's inputs to their handlers.
 */
import type { PeerBatch, PeerMessage, PlaceBid } from "@lovagepitch/types/peerMessage";
import type { AgentInput } from "../agentInput.js";
import { createPeerScopedKey, maximumBids } from "../entities/agentTables.js";
import { handleBackendServerAnnouncement, handleBackendServerLeaving } from "./backendServer.js";
import { adoptManifest, requestNewerManifest } from "./configuration.js";
import { acknowledgeOutcomes } from "./deliverOutcomes.js";
import { forceAnnouncement, markEntryUnreachable, recordSender, synchronizeEntries } from "./entries.js";
import { beginShutdown } from "./gracefulShutdown.js";
import { handleStarts, type MessageOrigin } from "./handleStarts.js";
import { handleTaskOutcome } from "./handleTaskOutcome.js";
import { queryTasks, recallTasks } from "./recallTasks.js";
import { handleRegistration, handleRegistrationFailure } from "./registration.js";
import { declineOffer } from "./reservations.js";
import { sealSubmissions } from "./sealSubmissions.js";
import type { TickContext } from "./tickContext.js";

/**
 * Handles the inputs of a tick. Local inputs are handled before messages from peers, so that a start can use slots that
 * were freed in the same tick and is refused when the backend server or the agent began to leave in it.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param inputs - all inputs since the last tick, in order of arrival
 */
export function handleInputs(context: TickContext, inputs: readonly AgentInput[]): void {
    for (const input of inputs) {
        if (input.type !== "peerBatch") {
            handleLocalInput(context, input);
        }
    }
    for (const input of inputs) {
        if (input.type === "peerBatch") {
            handleBatch(context, input.batch);
        }
    }
}

function handleLocalInput(context: TickContext, input: Exclude<AgentInput, { type: "peerBatch" }>): void {
    switch (input.type) {
        case "peerUnreachable":
            return markEntryUnreachable(context, input.address);
        case "backendAnnounced":
            return handleBackendServerAnnouncement(context, input.announcement);
        case "backendLeaving":
            return handleBackendServerLeaving(context);
        case "taskEnded":
            return handleTaskOutcome(context, input.submission, input.index, input.outcome);
        case "registered":
            return handleRegistration(context, input.number);
        case "registrationFailed":
            return handleRegistrationFailure(context);
        case "entriesRead":
            return synchronizeEntries(context, input.entries);
        case "manifestAccepted":
            return adoptManifest(context, input.manifest);
        case "stop":
            return beginShutdown(context);
    }
}

function handleBatch(context: TickContext, batch: PeerBatch): void {
    const isEntry = batch.role === "entry";
    const hasReply = batch.messages.some(message => message.type !== "ping");
    if (isEntry && !recordSender(context, batch.sender, hasReply)) {
        return;
    }
    const origin = { sender: batch.sender, configurationVersion: batch.configurationVersion };
    for (const message of batch.messages) {
        handlePeerMessage(context, origin, message);
        if (isEntry) {
            handleEntryMessage(context, origin, message);
        }
    }
    requestNewerManifest(context, origin.sender.address, batch.configurationVersion);
}

function handlePeerMessage(context: TickContext, origin: MessageOrigin, message: PeerMessage): void {
    switch (message.type) {
        case "ping":
            context.send(origin.sender.address, { type: "pong" });
            return;
        case "requestManifest":
            if (context.tables.manifest !== undefined) {
                context.send(origin.sender.address, { type: "sendManifest", manifest: context.tables.manifest });
            }
            return;
        case "sendManifest":
            adoptManifest(context, message.manifest);
            return;
        default:
            return;
    }
}

function handleEntryMessage(context: TickContext, origin: MessageOrigin, message: PeerMessage): void {
    switch (message.type) {
        case "ping":
            return forceAnnouncement(context, origin.sender.address);
        case "startTasks":
            return handleStarts(context, origin, message);
        case "recallTasks":
            return recallTasks(context, origin.sender, message);
        case "queryTasks":
            return queryTasks(context, origin.sender.address, message);
        case "sealSubmissions":
            return sealSubmissions(context, origin.sender.address, message);
        case "acknowledgeOutcomes":
            acknowledgeOutcomes(context, origin.sender.address, message);
            return declineOffer(context, origin.sender.address, message.declinedSlots);
        case "placeBid":
            return placeBid(context, origin, message);
        case "declineOffer":
            return declineOffer(context, origin.sender.address, message.slots);
        default:
            return;
    }
}

function placeBid(context: TickContext, origin: MessageOrigin, message: PlaceBid): void {
    const { bids } = context.tables;
    const key = createPeerScopedKey(origin.sender.address, message.service);
    if (message.waitingTasks <= 0) {
        bids.delete(key);
        return;
    }
    if (!bids.has(key) && bids.size >= maximumBids) {
        return;
    }
    bids.set(key, {
        address: origin.sender.address,
        service: message.service,
        oldestArrivalMilliseconds: message.oldestArrivalMilliseconds,
        waitingTasks: message.waitingTasks,
        placedAtMilliseconds: context.now,
        unansweredOffers: 0,
        nextOfferAtMilliseconds: 0,
    });
}
