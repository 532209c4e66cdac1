/**
 * Request of an entry to another one: agents of that entry with free capacity should connect to the sender too.
 */
import type { EntryLocation } from "./entryLocation.js";
import type { Resources } from "./resources.js";

/** Request for agents with free capacity, sent as one datagram; a lost one is replaced by the next. */
export interface CapacityRequest {
    /** Entry that needs capacity. */
    readonly from: EntryLocation;
    readonly service: string;
    /** Resources of one waiting task; an agent has to have at least these. */
    readonly needs: Resources;
    /** Label that the worker must have; undefined when any worker of the service may run the tasks. */
    readonly requiredLabel: string | undefined;
    /** Largest number of agents to invite. */
    readonly agents: number;
}
