/**
 * What the parts of one client share.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { ClientOptions } from "./clientOptions.js";
import type { Delay } from "./delay.js";
import type { EntrySelector } from "./entrySelector.js";
import type { HttpTransport } from "./httpTransport.js";
import type { MessageCounter } from "./messageCounts.js";

/** Shared parts. */
export interface ClientParts {
    readonly options: ClientOptions;
    readonly transport: HttpTransport;
    readonly clock: Clock;
    readonly delay: Delay;
    readonly random: RandomSource;
    readonly entries: EntrySelector;
    readonly messages: MessageCounter;
}
