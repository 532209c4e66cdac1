/**
 * Inputs and outputs of an entry's core.
 */
import type { CapacityRequest } from "../model/capacityRequest.js";
import type { DirectJob, JobAnswer } from "../model/directJob.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { EntryLocation } from "../model/entryLocation.js";
import type { ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import type { OwnershipMessage } from "../model/jobOwnership.js";
import type { LogLine } from "../model/logLine.js";
import type { ZoneEvacuations } from "../model/zoneEvacuations.js";

/** Input of an entry's core. */
export type EntryInput =
    | {
        readonly kind: "submitted";
        readonly request: number;
        readonly job: DirectJob;
        /** Earliest instant at which it may have arrived, if its connection was accepted late; in monotonic milliseconds. */
        readonly earliestArrival?: number | undefined;
        /** True when open requests hold as much memory as they may. */
        readonly isMemoryFull?: boolean | undefined;
    }
    | { readonly kind: "caller-disconnected"; readonly request: number; readonly job: string }
    | { readonly kind: "cancelled"; readonly job: string; readonly route: string }
    | {
        readonly kind: "frame";
        readonly connection: number;
        readonly frame: AgentFrame;
        /** When it was read, in monotonic milliseconds; by default when it is processed. */
        readonly receivedAt?: number;
    }
    | { readonly kind: "disconnected"; readonly connection: number }
    | { readonly kind: "configured"; readonly configuration: DispatchConfiguration; readonly source: "store" | "agent" }
    /** Evacuated zones that the store holds. */
    | { readonly kind: "evacuations-read"; readonly evacuations: ZoneEvacuations }
    | { readonly kind: "entries-found"; readonly entries: readonly EntryLocation[] }
    /** Bytes of all connections that the operating system has not taken from the process; sent when it changes. */
    | { readonly kind: "unsent"; readonly bytes: number }
    /** Another entry needs capacity. */
    | { readonly kind: "capacity-requested"; readonly request: CapacityRequest }
    /** Another entry has sent a message about open jobs. */
    | {
        readonly kind: "ownership";
        readonly message: OwnershipMessage;
        /** When it was read, in monotonic milliseconds; by default when it is processed. */
        readonly receivedAt?: number;
    }
    /** Another entry passes submissions on, on a connection that it has opened. */
    | { readonly kind: "forwarding-frame"; readonly connection: number; readonly frame: ForwardingFrame }
    /** An entry that jobs are passed on to has replied. */
    | {
        readonly kind: "forwarding-reply";
        readonly address: string;
        readonly reply: ForwardingReply;
        /** When it was read, in monotonic milliseconds; by default when it is processed. */
        readonly receivedAt?: number;
    }
    /** The connection to an entry that jobs are passed on to has ended, or could not be opened. */
    | { readonly kind: "entry-disconnected"; readonly address: string }
    /** Refuses new jobs from now on. */
    | { readonly kind: "shut-down" }
    /** Ends all open jobs. */
    | { readonly kind: "interrupt" };

/** Output of an entry's core. */
export type EntryOutput =
    | {
        readonly kind: "answer";
        readonly request: number;
        readonly job: string;
        readonly answer: JobAnswer;
        /** Time from the arrival of the job to this answer. */
        readonly afterMilliseconds: number;
    }
    | { readonly kind: "frame"; readonly connection: number; readonly frame: EntryFrame }
    /** Request to another entry. */
    | { readonly kind: "request-capacity"; readonly address: string; readonly request: CapacityRequest }
    /** Message to another entry about open jobs. */
    | { readonly kind: "ownership"; readonly address: string; readonly message: OwnershipMessage }
    /** Opens a connection to another entry, to pass jobs on. */
    | { readonly kind: "open-entry"; readonly address: string }
    | { readonly kind: "close-entry"; readonly address: string }
    | { readonly kind: "forwarding-frame"; readonly address: string; readonly frame: ForwardingFrame }
    | { readonly kind: "forwarding-reply"; readonly connection: number; readonly reply: ForwardingReply }
    /** Closes a connection that another entry has opened. */
    | { readonly kind: "close-connection"; readonly connection: number }
    | LogLine;
