/**
 * Counts failed connections by address and reports addresses that cannot be reached.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { Clock } from "@lovagepitch/utils/clock";

/** Failed connections in a row after which an address is reported. */
const failuresUntilReport = 2;
/** Addresses remembered; the oldest is forgotten beyond. */
const maximumTrackedAddresses = 10_000;

/** Failures of one address since its last reply. */
interface FailureRecord {
    readonly failures: number;
    readonly reportedAtMilliseconds: number | undefined;
}

/** Addresses whose connections failed. */
export class UnreachablePeers {
    private readonly records = new Map<PeerAddress, FailureRecord>();

    /**
     * @param clock - the time
     * @param reportIntervalMilliseconds - least time between two reports of one address
     * @param onUnreachable - called with each address that cannot be reached
     */
    public constructor(
        private readonly clock: Clock,
        private readonly reportIntervalMilliseconds: number,
        private readonly onUnreachable: (address: PeerAddress) => void,
    ) {}

    /**
     * Tells whether the last connection to an address failed.
     *
     * @param address - the address
     * @returns true when no reply came since
     */
    public hasFailed(address: PeerAddress): boolean {
        return this.records.has(address);
    }

    /**
     * Forgets the failures of an address that replied.
     *
     * @param address - the address
     */
    public clearFailures(address: PeerAddress): void {
        this.records.delete(address);
    }

    /**
     * Records a connection that fell silent or could not be opened.
     *
     * @param address - the address
     */
    public recordFailure(address: PeerAddress): void {
        this.record(address, 1);
    }

    /**
     * Records that nobody listens, which is reported without waiting for a second failure.
     *
     * @param address - the address
     */
    public recordRefusal(address: PeerAddress): void {
        this.record(address, failuresUntilReport);
    }

    private record(address: PeerAddress, weight: number): void {
        const previous = this.records.get(address);
        const failures = (previous?.failures ?? 0) + weight;
        const now = this.clock.nowMilliseconds();
        const isDue = failures >= failuresUntilReport && this.isReportAllowed(previous?.reportedAtMilliseconds, now);
        this.records.delete(address);
        this.records.set(address, {
            failures,
            reportedAtMilliseconds: isDue ? now : previous?.reportedAtMilliseconds,
        });
        this.removeOldestRecord();
        if (isDue) {
            this.onUnreachable(address);
        }
    }

    private isReportAllowed(reportedAtMilliseconds: number | undefined, now: number): boolean {
        if (reportedAtMilliseconds === undefined) {
            return true;
        }
        // The wall clock may have been set back.
        return Math.abs(now - reportedAtMilliseconds) >= this.reportIntervalMilliseconds;
    }

    private removeOldestRecord(): void {
        const [oldest] = this.records.keys();
        if (this.records.size > maximumTrackedAddresses && oldest !== undefined) {
            this.records.delete(oldest);
        }
    }
}
