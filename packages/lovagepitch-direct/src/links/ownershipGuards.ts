/**
 * Type guard for messages between entries about open jobs.
 */
import type { EntryProcess, OwnershipMessage } from "../model/jobOwnership.js";
import { isSocketAddress } from "./listenAt.js";

/** Largest number of jobs in one announcement that is read; a datagram of this version holds fewer. */
const maximumJobs = 1000;

type Fields = Readonly<Record<string, unknown>>;

/**
 * Tells whether a value is a message about open jobs.
 *
 * @param value - parsed JSON document
 * @returns true when every field has the type of the message's field
 */
export function isOwnershipMessage(value: unknown): value is OwnershipMessage {
    if (!isFields(value) || !isEntryProcess(value["from"])) {
        return false;
    }
    switch (value["kind"]) {
        case "open-jobs":
        case "inquire-jobs":
            return Array.isArray(value["jobs"]) && value["jobs"].length <= maximumJobs
                && value["jobs"].every(isOpenJob);
        case "jobs-not-open":
            return typeof value["asker"] === "string" && Array.isArray(value["jobs"])
                && value["jobs"].length <= maximumJobs && value["jobs"].every(isInquiredJob);
        case "release-job":
            return hasReleaseFields(value);
        case "job-released":
            return hasReleaseFields(value) && typeof value["mayHaveStarted"] === "boolean"
                && Array.isArray(value["owners"]) && value["owners"].length <= maximumJobs
                && value["owners"].every(isJobOwner);
        default:
            return false;
    }
}

function hasReleaseFields(value: Fields): boolean {
    return typeof value["job"] === "string" && typeof value["owner"] === "string"
        && typeof value["asker"] === "string" && Number.isSafeInteger(value["ownerSubmission"])
        && Number.isSafeInteger(value["askerSubmission"]);
}

function isOpenJob(value: unknown): boolean {
    return Array.isArray(value) && value.length === 3 && typeof value[0] === "string"
        && Number.isSafeInteger(value[1]) && Number.isFinite(value[2]);
}

function isInquiredJob(value: unknown): boolean {
    return Array.isArray(value) && value.length === 2 && typeof value[0] === "string" && Number.isSafeInteger(value[1]);
}

function isJobOwner(value: unknown): boolean {
    return isFields(value) && isEntryProcess(value) && Number.isSafeInteger(value["submission"]);
}

function isEntryProcess(value: unknown): value is EntryProcess {
    return isFields(value) && typeof value["address"] === "string" && isSocketAddress(value["address"])
        && typeof value["incarnation"] === "string";
}

function isFields(value: unknown): value is Fields {
    return typeof value === "object" && value !== null;
}
