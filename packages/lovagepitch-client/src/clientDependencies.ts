/**
 * Dependencies shared by the classes of one client.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { ClientOptions } from "./clientOptions.js";
import type { Delay } from "./delay.js";
import type { EntrySelector } from "./entrySelector.js";
import type { HttpTransport } from "./httpTransport.js";
import type { MessageCounter } from "./messageCounts.js";

/** Options, interfaces to the environment and shared state of one client. */
export interface ClientDependencies {
    readonly options: ClientOptions;
    readonly transport: HttpTransport;
    readonly clock: Clock;
    readonly delay: Delay;
    readonly random: RandomSource;
    readonly entries: EntrySelector;
    readonly messages: MessageCounter;
}
