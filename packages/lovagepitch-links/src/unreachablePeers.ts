/**
 * Counts failed connections by address and reports unreachable addresses.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { Clock } from "@lovagepitch/utils/clock";

/** Number of consecutive failed connections after which an address is reported. */
const failuresUntilReport = 2;
/** Largest number of tracked addresses; beyond it the oldest record is removed. */
const maximumTrackedAddresses = 10_000;

/** Failed connections to one address since its last reply. */
interface FailureRecord {
    readonly failures: number;
    readonly reportedAtMilliseconds: number | undefined;
}

/** Tracks addresses whose connections failed. */
export class UnreachablePeers {
    private readonly records = new Map<PeerAddress, FailureRecord>();

    /**
     * @param clock - source of time
     * @param reportIntervalMilliseconds - shortest time between two reports of one address
     * @param onUnreachable - called with each unreachable address
     */
    public constructor(
        private readonly clock: Clock,
        private readonly reportIntervalMilliseconds: number,
        private readonly onUnreachable: (address: PeerAddress) => void,
    ) {}

    /**
     * Tells whether the last connection to an address failed.
     *
     * @param address - address of the peer
     * @returns true when no reply has arrived since the failure
     */
    public hasFailed(address: PeerAddress): boolean {
        return this.records.has(address);
    }

    /**
     * Removes the failures of an address after a reply.
     *
     * @param address - address of the peer
     */
    public clearFailures(address: PeerAddress): void {
        this.records.delete(address);
    }

    /**
     * Records a connection that timed out or could not be opened.
     *
     * @param address - address of the peer
     */
    public recordFailure(address: PeerAddress): void {
        this.record(address, 1);
    }

    /**
     * Records a refused connection, which is reported without waiting for a second failure.
     *
     * @param address - address of the peer
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
        // The absolute difference tolerates a wall clock that was set back.
        return Math.abs(now - reportedAtMilliseconds) >= this.reportIntervalMilliseconds;
    }

    private removeOldestRecord(): void {
        const [oldest] = this.records.keys();
        if (this.records.size > maximumTrackedAddresses && oldest !== undefined) {
            this.records.delete(oldest);
        }
    }
}
