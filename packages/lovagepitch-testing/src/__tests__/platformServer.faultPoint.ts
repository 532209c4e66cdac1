import { ObjectStore } from "@lovagepitch/platform/objectStore";
import { type ConditionalWrite, TableService } from "@lovagepitch/platform/tableService";
import type { PlatformFixture } from "./platformServer.fixture.js";

/** Switches a fault on before one call to the platform, and off after it. */
export class FaultPoint {
    private callCount = 0;
    private isReached = false;

    /**
     * @param faultyCall - number of the call that meets the fault, from 1
     * @param switchOn - switches the fault on
     * @param switchOff - switches the fault off after the call
     */
    public constructor(
        private readonly faultyCall: number,
        private readonly switchOn: () => void,
        private readonly switchOff: () => void,
    ) {}

    /** Whether the faulty call was made. */
    public get wasReached(): boolean {
        return this.isReached;
    }

    /** Makes the call on the faulty service when it is the selected call, otherwise on the fault-free one. */
    public async forward<Service, Answer>(
        faulty: Service,
        clean: Service,
        call: (service: Service) => Promise<Answer>,
    ): Promise<Answer> {
        this.callCount += 1;
        if (this.callCount !== this.faultyCall) {
            return call(clean);
        }
        this.isReached = true;
        this.switchOn();
        try {
            return await call(faulty);
        }
        finally {
            this.switchOff();
        }
    }
}

class FaultyTable extends TableService {
    public constructor(
        private readonly faulty: TableService,
        private readonly clean: TableService,
        private readonly point: FaultPoint,
    ) {
        super();
    }

    public override read(key: string): ReturnType<TableService["read"]> {
        return this.point.forward(this.faulty, this.clean, table => table.read(key));
    }

    public override list(prefix: string): ReturnType<TableService["list"]> {
        return this.point.forward(this.faulty, this.clean, table => table.list(prefix));
    }

    public override write(writes: readonly ConditionalWrite[]): ReturnType<TableService["write"]> {
        return this.point.forward(this.faulty, this.clean, table => table.write(writes));
    }
}

class FaultyObjectStore extends ObjectStore {
    public constructor(
        private readonly faulty: ObjectStore,
        private readonly clean: ObjectStore,
        private readonly point: FaultPoint,
    ) {
        super();
    }

    public override put(name: string, body: Uint8Array): ReturnType<ObjectStore["put"]> {
        return this.point.forward(this.faulty, this.clean, objects => objects.put(name, body));
    }

    public override get(name: string): ReturnType<ObjectStore["get"]> {
        return this.point.forward(this.faulty, this.clean, objects => objects.get(name));
    }
}

/** Wraps a platform so that one call meets a fault; all other calls go to the fault-free one with its long timeout. */
export function withFaultPoint(platform: PlatformFixture, clean: PlatformFixture, point: FaultPoint): PlatformFixture {
    return {
        ...platform,
        table: new FaultyTable(platform.table, clean.table, point),
        objects: new FaultyObjectStore(platform.objects, clean.objects, point),
    };
}
