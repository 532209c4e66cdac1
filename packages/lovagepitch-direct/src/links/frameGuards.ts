/**
 * Type guards for messages between processes. A message of another protocol, of another version or of a faulty process
 * must not end the receiving process, so every field that is read is checked.
 */
import type { CapacityRequest } from "../model/capacityRequest.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { EntryLocation } from "../model/entryLocation.js";
import type { AgentFrame, ConfigurationNotice, EntryFrame, RunEnd, RunIdentity, StartOrder } from "../model/frames.js";
import type { CrashedRun, WorkerCrash } from "../model/workerCrash.js";
import type { ReportInstant, WorkerStatus } from "../model/workerStatus.js";
import type { ZoneEvacuations } from "../model/zoneEvacuations.js";
import {
    isAddress,
    isArrayOf,
    isBoolean,
    isIntegerFrom,
    isNeeds,
    isNumber,
    isObject,
    isOptional,
    isResources,
    isString,
} from "./valueGuards.js";

const runEnds: ReadonlySet<unknown> = new Set<RunEnd>([
    "succeeded",
    "failed",
    "stopped",
    "lost",
    "not-started",
    "stalled",
    "moved",
]);

/**
 * Tells whether a value is a frame from an agent.
 *
 * @param value - parsed JSON document
 * @returns true when every field has the type of an agent frame's field
 */
export function isAgentFrame(value: unknown): value is AgentFrame {
    return isObject<AgentFrame>(value) && isString(value.agent) && isString(value.instance)
        && isString(value.availabilityZone) && isNumber(value.sentAt) && isNumber(value.includedSequence)
        && isOptional(value.includedForMilliseconds, isNumber)
        && isOptional(value.worker, isWorkerStatus) && isArrayOf(value.ended, isEndedRun)
        && isOptional(value.openRuns, runs => isArrayOf(runs, isRunIdentity)) && isOptional(value.entry, isString)
        && isConfigurationNotice(value.configuration) && isOptional(value.evacuations, isZoneEvacuations)
        && isOptional(value.crashes, crashes => isArrayOf(crashes, isWorkerCrash));
}

/**
 * Tells whether a value is a frame from an entry.
 *
 * @param value - parsed JSON document
 * @returns true when every field has the type of an entry frame's field
 */
export function isEntryFrame(value: unknown): value is EntryFrame {
    return isObject<EntryFrame>(value) && isString(value.entry) && isNumber(value.sequence)
        && isNumber(value.newestSentAt) && isArrayOf(value.starts, isStartOrder)
        && isArrayOf(value.stops, isRunIdentity) && isArrayOf(value.entryAddresses, isAddress)
        && isOptional(value.entryZones, zones => isArrayOf(zones, isString))
        && isOptional(value.invitations, invitations => isArrayOf(invitations, isEntryLocation))
        && isConfigurationNotice(value.configuration) && isOptional(value.evacuations, isZoneEvacuations)
        && isOptional(value.reportedCapacity, isReportedCapacity)
        && isOptional(value.crashes, crashes => isArrayOf(crashes, isWorkerCrash));
}

/**
 * Tells whether a value is a request for capacity.
 *
 * @param value - parsed JSON document
 * @returns true when every field has the type of a request's field
 */
export function isCapacityRequest(value: unknown): value is CapacityRequest {
    return isObject<CapacityRequest>(value) && isEntryLocation(value.from) && isString(value.service)
        && isNumber(value.agents) && isResources(value.needs) && isOptional(value.requiredLabel, isString);
}

function isStartOrder(value: unknown): boolean {
    return isObject<StartOrder>(value) && isRunIdentity(value) && isString(value.service)
        && isString(value.specification) && isNeeds(value.needs) && isNumber(value.estimatedMilliseconds)
        && isNumber(value.mayWaitMilliseconds) && isObject<StartOrder["urgency"]>(value.urgency)
        && isNumber(value.urgency.priority) && isNumber(value.urgency.spareMilliseconds)
        && isNumber(value.maximumPerWorker) && isOptional(value.requiredLabel, isString)
        && isOptional(value.hasStalled, isBoolean) && isOptional(value.route, isString)
        && isOptional(value.isolation, isIsolation);
}

function isIsolation(value: unknown): boolean {
    return value === "job" || value === "shared";
}

function isWorkerCrash(value: unknown): boolean {
    return isObject<WorkerCrash>(value) && isString(value.id) && isString(value.instance) && isString(value.service)
        && isNumber(value.ageMilliseconds) && value.ageMilliseconds >= 0 && isArrayOf(value.runs, isCrashedRun)
        && isOptional(value.certainty, isCrashCertainty);
}

function isCrashCertainty(value: unknown): boolean {
    return value === "suspected" || value === "refuted";
}

function isCrashedRun(value: unknown): boolean {
    return isObject<CrashedRun>(value) && isString(value.job) && isNumber(value.task) && isString(value.route)
        && isNumber(value.ageMilliseconds);
}

function isEndedRun(value: unknown): boolean {
    return isRunIdentity(value) && isNumber(value.ranMilliseconds) && runEnds.has(value.end);
}

function isRunIdentity(value: unknown): value is RunIdentity & Readonly<Record<string, unknown>> {
    return isObject<RunIdentity>(value) && isString(value.job) && isIntegerFrom(0, value.task)
        && isIntegerFrom(1, value.run) && isOptional(value.submission, number => isIntegerFrom(0, number));
}

function isWorkerStatus(value: unknown): boolean {
    return isObject<WorkerStatus>(value) && isString(value.service) && isArrayOf(value.labels, isString)
        && isResources(value.capacity) && isResources(value.free) && isResources(value.awaited)
        && isOptional(value.speed, isNumber) && isOptional(value.isolation, isIsolation)
        && isOptional(value.latestReport, isReportInstant);
}

function isReportInstant(value: unknown): value is ReportInstant & Readonly<Record<string, unknown>> {
    return isObject<ReportInstant>(value) && isString(value.worker) && isOptional(value.startedAt, isNumber)
        && isNumber(value.workerClock);
}

function isReportedCapacity(value: unknown): boolean {
    return isReportInstant(value) && isResources(value["capacity"]);
}

function isConfigurationNotice(value: unknown): boolean {
    return isObject<ConfigurationNotice>(value) && isNumber(value.version)
        && isOptional(value.configuration, isConfiguration);
}

function isZoneEvacuations(value: unknown): boolean {
    return isObject<ZoneEvacuations>(value) && isNumber(value.revision) && isArrayOf(value.zones, isString);
}

function isConfiguration(value: unknown): boolean {
    return isObject<DispatchConfiguration>(value) && isNumber(value.version) && isArrayOf(value.routes, isRoute)
        && isObject<DispatchConfiguration["callerLimits"]>(value.callerLimits)
        && Object.values(value.callerLimits).every(isNumber);
}

function isRoute(value: unknown): boolean {
    return isObject<DispatchConfiguration["routes"][0]>(value) && isString(value.name) && isString(value.host)
        && isString(value.pathPrefix) && isString(value.service) && isNumber(value.priority)
        && isNumber(value.maximumAttempts) && isNumber(value.stretch) && isNumber(value.allowanceMilliseconds);
}

function isEntryLocation(value: unknown): boolean {
    return isObject<EntryLocation>(value) && isAddress(value.address)
        && isOptional(value.availabilityZone, isString);
}
