/**
 * Checks that decide whether the agent may start a task.
 */
import type { SubmissionIdentity } from "@lovagepitch/types/identity";
import type { KindManifest } from "@lovagepitch/types/manifest";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { isLeaving } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/** Properties of a start that are checked. */
export interface StartParameters {
    readonly service: string;
    readonly kind: string;
    readonly deadlineAtMilliseconds: number;
}

/**
 * Finds a kind in the manifest in force.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param service - name of the service
 * @param kind - name of the kind in the service
 * @returns the kind, or undefined when the manifest does not define it
 */
export function findKind(context: TickContext, service: string, kind: string): KindManifest | undefined {
    return context.tables.manifest?.manifest.services
        .find(candidate => candidate.name === service)?.kinds
        .find(candidate => candidate.name === kind);
}

/**
 * Tells whether tasks of a kind may run at this agent.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param service - name of the service
 * @param kind - name of the kind in the service
 * @returns true when the backend server provides the service and the manifest permits the kind in the agent's
 *     availability zone
 */
export function isPermitted(context: TickContext, service: string, kind: string): boolean {
    const isServiceProvided = context.tables.backendServer?.announcement.services.includes(service) ?? false;
    const zones = findKind(context, service, kind)?.availabilityZones ?? [];
    return isServiceProvided && zones.includes(context.settings.availabilityZone);
}

/**
 * Finds a reason to refuse a start, other than missing permission or capacity.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param identity - decoded id of the submission
 * @param parameters - service, kind and deadline of the start
 * @returns the refusal, or undefined when the start is allowed
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
    // The collection of outcomes of a lost owner does not query agents that registered after the id was issued.
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
