/**
 * Keeps an entry's row in the registry.
 */
import type { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import type { PeerIdentity } from "@lovagepitch/types/identity";
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { EventLog } from "@lovagepitch/utils/logger";
import { Poller } from "@lovagepitch/utils/poller";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { StoreHealth } from "./storeHealth.js";

/** Time between two attempts to register. */
const registrationRetryMilliseconds = 1_000;
/** Rows are kept for this many resubmission windows after their last renewal. */
const retentionWindows = 2;
/** Part of the resubmission window after which expired rows are looked for again. */
const expiryChecksPerWindow = 4;

/** What the registrar needs. */
export interface EntryRegistrarDependencies {
    readonly identity: PeerIdentity;
    readonly settings: EntrySettings;
    readonly registry: RegistryRepository;
    readonly storeHealth: StoreHealth;
    readonly eventLog: EventLog;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Registers, renews and signs off one entry, and removes rows that nobody needs any more. */
export class EntryRegistrar {
    private readonly registration: Poller;
    private readonly renewal: Poller;
    private readonly expiry: Poller;

    /**
     * @param dependencies - the entry and the registry
     */
    public constructor(private readonly dependencies: EntryRegistrarDependencies) {
        const { settings, random } = dependencies;
        const expiryInterval = settings.resubmissionWindowMilliseconds / expiryChecksPerWindow;
        this.registration = new Poller(registrationRetryMilliseconds, random, () => this.register());
        this.renewal = new Poller(settings.registrationRenewMilliseconds, random, () => this.renew());
        this.expiry = new Poller(expiryInterval, random, () => this.removeExpired());
    }

    /** Starts to register. */
    public start(): void {
        this.registration.run();
    }

    /**
     * Marks the row as left.
     *
     * @returns when the mark is durable or could not be made
     */
    public async leave(): Promise<void> {
        this.registration.stop();
        this.renewal.stop();
        this.expiry.stop();
        const { registry, storeHealth, eventLog, identity } = this.dependencies;
        const left = storeHealth.record("markEntryLeft", await registry.markEntryLeft(identity.incarnation));
        if (left.err) {
            eventLog.logEvent("warn", "the entry's row could not be marked as left; it expires by itself", {
                reason: left.val.message,
            });
        }
    }

    private async register(): Promise<void> {
        const { registry, storeHealth, identity, settings, clock } = this.dependencies;
        const registered = storeHealth.record(
            "registerEntry",
            await registry.registerEntry({
                ...identity,
                availabilityZone: settings.availabilityZone,
                state: "serving",
                renewedAtMilliseconds: clock.nowMilliseconds(),
            }),
        );
        if (registered.ok) {
            this.registration.stop();
            this.renewal.run();
            this.expiry.run();
        }
    }

    private async renew(): Promise<void> {
        const { registry, storeHealth, identity } = this.dependencies;
        storeHealth.record("renewEntry", await registry.renewEntry(identity.incarnation));
    }

    private async removeExpired(): Promise<void> {
        const { registry, storeHealth, settings, clock } = this.dependencies;
        const window = settings.resubmissionWindowMilliseconds * retentionWindows;
        storeHealth.record("removeExpired", await registry.removeExpired(clock.nowMilliseconds(), window));
    }
}
