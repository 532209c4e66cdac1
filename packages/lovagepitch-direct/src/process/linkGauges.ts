/**
 * Gauges of an entry's link to its agents.
 */
import type { LinkFigures } from "../policies/linkBacklog.js";
import type { DirectMetrics } from "./directMetrics.js";

const millisecondsPerSecond = 1000;

/**
 * Adds the gauges of the link.
 *
 * @param metrics - metrics of the entry
 * @param readLink - returns the start orders in flight, their bound and their delay
 * @param countUnsentBytes - returns the bytes that the operating system has not taken
 */
export function addLinkGauges(
    metrics: DirectMetrics,
    readLink: () => LinkFigures,
    countUnsentBytes: () => number,
): void {
    metrics.addGauge("link_unsent_bytes", "Bytes to agents that the operating system has not taken", countUnsentBytes);
    metrics.addGauge("link_in_flight_bytes", "Bytes of start orders that agents do not reflect yet", () => {
        return readLink().inFlightBytes;
    });
    metrics.addGauge("link_bound_bytes", "Bound on the bytes of start orders in flight", () => readLink().windowBytes);
    metrics.addGauge("link_delay_seconds", "Delay of frames to agents by frames before them", () => {
        return readLink().delayMilliseconds / millisecondsPerSecond;
    });
    metrics.addGauge("link_oldest_seconds", "Age of the oldest frame that its agent does not reflect yet", () => {
        return readLink().oldestMilliseconds / millisecondsPerSecond;
    });
}
