/**
 * Evacuated availability zones in the store: one row for each zone, whatever its value. The rows lie in the table of the
 * configuration, so one feed serves both.
 */
import type { ZoneEvacuations } from "../model/zoneEvacuations.js";
import type { RowsView, SharedRow } from "./sharedRows.js";

/** Decoder of the rows that evacuate zones. */
export abstract class EvacuationRow {
    /**
     * Finds the zone that a row evacuates.
     *
     * @param row - row of the table
     * @returns name of the zone, or undefined for any other row
     */
    public abstract findZone(row: SharedRow): string | undefined;
}

/** Follows the rows of evacuations through reads of the whole table and its changes. */
export class EvacuationRows {
    private readonly zones = new Set<string>();

    /**
     * @param row - decoder of the rows
     * @param onEvacuations - called with the zones after each read of the table or of its changes
     */
    public constructor(
        private readonly row: EvacuationRow,
        private readonly onEvacuations: (evacuations: ZoneEvacuations) => void,
    ) {}

    /**
     * Processes rows of the table.
     *
     * @param view - rows that were read
     * @param isComplete - true when they are all rows of the table, false when they are changes
     */
    public receive(view: RowsView, isComplete: boolean): void {
        if (isComplete) {
            this.zones.clear();
        }
        for (const row of view.rows) {
            const zone = this.row.findZone(row);
            if (zone !== undefined && row.isRemoved) {
                this.zones.delete(zone);
            }
            else if (zone !== undefined) {
                this.zones.add(zone);
            }
        }
        this.onEvacuations({ revision: view.version, zones: [...this.zones].sort() });
    }
}
