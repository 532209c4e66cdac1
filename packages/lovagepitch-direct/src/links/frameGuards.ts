/**
 * Type guards for frames. Only processes of the deployment can reach the port, so the guards only detect other
 * protocols and other versions; they do not validate every field of every message.
 */
import type { CapacityRequest } from "../model/capacityRequest.js";
import type { AgentFrame, EntryFrame } from "../model/frames.js";

/**
 * Tells whether a value is a frame from an agent.
 *
 * @param value - parsed JSON document
 * @returns true when it has an agent frame's fields
 */
export function isAgentFrame(value: unknown): value is AgentFrame {
    const frame = value as Partial<AgentFrame> | undefined;
    return typeof frame?.agent === "string" && typeof frame.sentAt === "number" && Array.isArray(frame.ended)
        && typeof frame.configuration?.version === "number";
}

/**
 * Tells whether a value is a frame from an entry.
 *
 * @param value - parsed JSON document
 * @returns true when it has an entry frame's fields
 */
export function isEntryFrame(value: unknown): value is EntryFrame {
    const frame = value as Partial<EntryFrame> | undefined;
    return typeof frame?.entry === "string" && typeof frame.sequence === "number" && Array.isArray(frame.starts)
        && Array.isArray(frame.stops) && Array.isArray(frame.entryAddresses)
        && typeof frame.configuration?.version === "number";
}

/**
 * Tells whether a value is a request for capacity.
 *
 * @param value - parsed JSON document
 * @returns true when it has a request's fields
 */
export function isCapacityRequest(value: unknown): value is CapacityRequest {
    const request = value as Partial<CapacityRequest> | undefined;
    return typeof request?.from?.address === "string" && typeof request.service === "string"
        && typeof request.agents === "number" && typeof request.needs?.milliCores === "number"
        && typeof request.needs.memoryMegabytes === "number" && typeof request.needs.accelerators === "number";
}
