/**
 * Maintains an entry's row in the registry.
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
/** Number of resubmission windows for which a row is retained after its last renewal. */
const retentionWindows = 2;
/** Number of times per resubmission window that expired rows are removed. */
const expiryChecksPerWindow = 4;

/** Constructor arguments of the registrar. */
export interface EntryRegistrarDependencies {
    readonly identity: PeerIdentity;
    readonly settings: EntrySettings;
    readonly registry: RegistryRepository;
    readonly storeHealth: StoreHealth;
    readonly eventLog: EventLog;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called once the row is durable. */
    readonly onRegistered: () => void;
}

/** Registers an entry, renews its row, marks it as left at the end, and removes expired rows of all processes. */
export class EntryRegistrar {
    private readonly registration: Poller;
    private readonly renewal: Poller;
    private readonly expiry: Poller;

    /**
     * @param dependencies - identity and settings of the entry, and the registry
     */
    public constructor(private readonly dependencies: EntryRegistrarDependencies) {
        const { settings, random } = dependencies;
        const expiryIntervalMilliseconds = settings.resubmissionWindowMilliseconds / expiryChecksPerWindow;
        this.registration = new Poller(registrationRetryMilliseconds, random, () => this.register());
        this.renewal = new Poller(settings.registrationRenewMilliseconds, random, () => this.renew());
        this.expiry = new Poller(expiryIntervalMilliseconds, random, () => this.removeExpired());
    }

    /** Starts the registration, which is retried until it succeeds. */
    public start(): void {
        this.registration.run();
    }

    /**
     * Marks the row as left.
     *
     * @returns a promise that resolves when the change is durable or has failed
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
            this.dependencies.onRegistered();
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
        const retentionMilliseconds = settings.resubmissionWindowMilliseconds * retentionWindows;
        storeHealth.record(
            "removeExpired",
            await registry.removeExpired(clock.nowMilliseconds(), retentionMilliseconds),
        );
    }
}
