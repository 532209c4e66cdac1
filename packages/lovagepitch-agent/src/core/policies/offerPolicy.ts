/**
 * Policies that select the bid that a free slot is offered to.
 */
import type { BidRow } from "../entities/rows.js";

/** Selects among the bids of entries. */
export abstract class OfferPolicy {
    /**
     * Selects the bid that the next free slot is offered to.
     *
     * @param bids - eligible bids; at least one
     * @returns the selected bid
     */
    public abstract choose(bids: readonly [BidRow, ...BidRow[]]): BidRow;
}

/** Selects the bid with the oldest waiting task across all entries (FIFO). */
export class OldestBidFirst extends OfferPolicy {
    /** {@inheritDoc OfferPolicy.choose} */
    public override choose(bids: readonly [BidRow, ...BidRow[]]): BidRow {
        let [oldest] = bids;
        for (const bid of bids) {
            if (bid.oldestArrivalMilliseconds < oldest.oldestArrivalMilliseconds) {
                oldest = bid;
            }
        }
        return oldest;
    }
}
