/**
 * The agent's own check that it may start a task.
 */
import type { SubmissionIdentity } from "@lovagepitch/types/identity";
import type { KindManifest } from "@lovagepitch/types/manifest";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { isLeaving } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/** What a start asks for. */
export interface StartParameters {
    readonly service: string;
    readonly kind: string;
    readonly deadlineAtMilliseconds: number;
}

/**
 * Finds a kind of work in the manifest in force.
 *
 * @param context - the tick
 * @param service - name of the service
 * @param kind - name of the kind
 * @returns the kind, or undefined when the manifest has none of that name
 */
export function findKind(context: TickContext, service: string, kind: string): KindManifest | undefined {
    return context.tables.manifest?.manifest.services
        .find(candidate => candidate.name === service)?.kinds
        .find(candidate => candidate.name === kind);
}

/**
 * Tells whether a kind of work may run here.
 *
 * @param context - the tick
 * @param service - name of the service
 * @param kind - name of the kind
 * @returns true when the backend server offers the service and the manifest permits the availability zone
 */
export function isPermitted(context: TickContext, service: string, kind: string): boolean {
    const offered = context.tables.backendServer?.offer.services.includes(service) ?? false;
    const zones = findKind(context, service, kind)?.availabilityZones ?? [];
    return offered && zones.includes(context.settings.availabilityZone);
}

/**
 * Finds what forbids a start, apart from place and room.
 *
 * @param context - the tick
 * @param identity - what the submission's id says
 * @param parameters - what the start asks for
 * @returns why the task is refused, or undefined when nothing forbids it
 */
export function findStartRefusal(
    context: TickContext,
    identity: SubmissionIdentity,
    parameters: StartParameters,
): TaskRefusal | undefined {
    const { registration, backendServer } = context.tables;
    if (isLeaving(context)) {
        return "leaving";
    }
    if (registration.number === undefined) {
        return "not-registered";
    }
    // The keeper's sweep would not ask an agent that registered after the id was issued.
    if (registration.number > identity.registryVersion) {
        return "not-eligible";
    }
    if (parameters.deadlineAtMilliseconds <= context.now) {
        return "deadline-passed";
    }
    if (backendServer?.state !== "present") {
        return "backend-unavailable";
    }
    return undefined;
}
