import { ObjectStore } from "@lovagepitch/platform/objectStore";
import { type ConditionalWrite, TableService } from "@lovagepitch/platform/tableService";
import type { PlatformFixture } from "./platformServer.fixture.js";

/** Switches faults on before one call of the platform, and off after it. */
export class FaultPoint {
    private calls = 0;
    private reached = false;

    /**
     * @param step - number of the call that meets the fault, from 1
     * @param switchOn - switches the fault on
     * @param switchOff - switches it off after the call
     */
    public constructor(
        private readonly step: number,
        private readonly switchOn: () => void,
        private readonly switchOff: () => void,
    ) {}

    /** Whether the call was made. */
    public get wasReached(): boolean {
        return this.reached;
    }

    /** Makes the call at the platform with the fault when it is this step's, else at the one without. */
    public async pass<Service, Answer>(
        faulty: Service,
        clean: Service,
        call: (service: Service) => Promise<Answer>,
    ): Promise<Answer> {
        this.calls += 1;
        if (this.calls !== this.step) {
            return call(clean);
        }
        this.reached = true;
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
        return this.point.pass(this.faulty, this.clean, table => table.read(key));
    }

    public override list(prefix: string): ReturnType<TableService["list"]> {
        return this.point.pass(this.faulty, this.clean, table => table.list(prefix));
    }

    public override write(writes: readonly ConditionalWrite[]): ReturnType<TableService["write"]> {
        return this.point.pass(this.faulty, this.clean, table => table.write(writes));
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
        return this.point.pass(this.faulty, this.clean, objects => objects.put(name, body));
    }

    public override get(name: string): ReturnType<ObjectStore["get"]> {
        return this.point.pass(this.faulty, this.clean, objects => objects.get(name));
    }
}

/** The platform as a process sees it whose one call meets a fault; all other calls have ample time. */
export function withFaultPoint(platform: PlatformFixture, clean: PlatformFixture, point: FaultPoint): PlatformFixture {
    return {
        ...platform,
        table: new FaultyTable(platform.table, clean.table, point),
        objects: new FaultyObjectStore(platform.objects, clean.objects, point),
    };
}
