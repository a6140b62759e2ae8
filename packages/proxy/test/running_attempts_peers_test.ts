/**
 * Guards against requests that one VM serves for another and that end while their target is at work,
 * since something happens to one of the two VMs or to the connection between them.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";
import * as raw from "./raw_caller.ts";

const { PROFILE } = harness;

const RUNNING = "running";

/** Longer than any idle timeout of the connections between VMs. */
const SILENT_MILLISECONDS = 5_600;

const TARGETS = 3;

/** Last number of the first VM's address; ports are claimed on one below. */
const FIRST_HOST = 3;

const LIMITS = harness.createDeclarations(1).limits;
const DEADLINE_MILLISECONDS = 15_000;

function createRoutes() {
  const changes = {
    // So long that no attempt counts as silent.
    objectiveMilliseconds: 10_000,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
  };
  return [
    harness.createRoute(changes),
    harness.createRoute({
      ...changes,
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent: true,
    }),
  ];
}

/** A request that one VM serves for another, at a target. */
interface Situation {
  readonly cut: harness.TestVm;
  readonly server: harness.TestVm;
  readonly target: harness.TestTarget;
  readonly endPartition: () => void;
  readonly stops: Promise<void>[];
  readonly stop: (vm: harness.TestVm) => void;
}

function isRunning({ headers }: http.IncomingMessage): boolean {
  return headers[PROFILE.requestId] === RUNNING;
}

/** Starts two VMs, of which the first reaches no target and passes a request on to the second. */
async function runPassedOn(
  isIdempotent: boolean,
  happen: (situation: Situation) => void | Promise<void>,
  check: (answer: harness.CallerAnswer) => void = assertServed,
): Promise<void> {
  const store = new harness.MemoryStore();
  const declared = harness.createDeclarations(1, { routes: createRoutes() });
  const vms: harness.TestVm[] = [];
  const stops: Promise<void>[] = [];
  const stopped = new Set<harness.TestVm>();
  let endPartition = () => undefined as void;
  try {
    for (const [index, name] of ["vm-server", "vm-cut"].entries()) {
      const seeds = vms.map(({ peerAddress }) => peerAddress);
      const vm = new harness.TestVm({ name, store, seeds, host: `127.0.0.${FIRST_HOST + index}` });
      vms.push(vm);
      await vm.start(index === 0 ? TARGETS : 0, declared);
    }
    const [server, cut] = vms;
    assert.ok(server !== undefined && cut !== undefined);
    const { targets } = server;
    // Both VMs know each other.
    await kernel.sleep(500);
    endPartition = partitions.startPartition([cut.host], targets, "resets");
    await testing.waitFor(
      async () => {
        await Promise.all([1, 2, 3].map(() => cut.call()));
        return cut.log.some(({ code }) => code === kernel.LogMessages.pathLost.code);
      },
      "the path is lost",
      5_000,
    );
    let respond: (() => void) | undefined;
    for (const target of targets) {
      target.behaviour = (request, response) => {
        if (isRunning(request)) {
          respond = () => harness.answerSuccess(request, response);
        } else {
          harness.answerSuccess(request, response);
        }
      };
    }
    let hasAnswer = false;
    const called = cut.call({
      ...(isIdempotent ? { method: "GET", path: "/reads/1" } : {}),
      headers: {
        [PROFILE.requestId]: RUNNING,
        [PROFILE.deadline]: String(DEADLINE_MILLISECONDS),
      },
    }).finally(() => hasAnswer = true);
    await harness.waitFor(() => respond !== undefined, "the request is passed on");
    const target = targets.find(({ requests }) => requests.some(isRunning)) ?? assert.fail();
    await happen({
      cut,
      server,
      target,
      endPartition,
      stops,
      stop: (vm) => {
        stopped.add(vm);
        stops.push(vm.stop());
      },
    });
    assert.equal(hasAnswer, false, "the request ends");
    respond?.();
    check(await called);
    assert.equal(targets.flatMap(({ requests }) => requests.filter(isRunning)).length, 1);
  } finally {
    endPartition();
    await Promise.all([
      ...stops,
      ...vms.filter((vm) => !stopped.has(vm)).map((vm) => vm.stop()),
    ]);
  }
}

function assertServed(answer: harness.CallerAnswer): void {
  assert.deepEqual([answer.status, answer.body, answer.isComplete], [200, "done", true]);
}

const EVENTS: Readonly<Record<string, (situation: Situation) => void | Promise<void>>> = {
  "the VM that passes it on stops": async ({ cut, stop }) => {
    stop(cut);
    await kernel.sleep(4_000);
  },
  "the VM that serves it stops": async ({ server, stop }) => {
    stop(server);
    await kernel.sleep(4_000);
  },
  "both VMs stop": async ({ cut, server, stop }) => {
    stop(server);
    await kernel.sleep(100);
    stop(cut);
    await kernel.sleep(3_500);
  },
  "the path to the targets is back": async ({ cut, endPartition }) => {
    endPartition();
    await testing.waitFor(
      async () => {
        await cut.call();
        return cut.log.some(({ code }) => code === kernel.LogMessages.pathRestored.code);
      },
      "the path is back",
      5_000,
    );
  },
  "its target works longer than any connection may be idle": async () => {
    await kernel.sleep(SILENT_MILLISECONDS);
  },
  "idle connections of callers end at once": async ({ cut }) => {
    cut.store.declared = harness.createDeclarations(2, {
      routes: createRoutes(),
      limits: { ...LIMITS, idleMilliseconds: 100, headerMilliseconds: 100 },
    });
    cut.store.revision++;
    await kernel.sleep(2_500);
  },
  "its target is withdrawn": async ({ server, target }) => {
    server.store.put(fixtures.createRemoval(target.id, 20));
    await kernel.sleep(1_000);
  },
  "its target's data centre is evacuated": async ({ server }) => {
    server.store.evacuate("north");
    await kernel.sleep(1_000);
  },
  "its route is removed": async ({ server }) => {
    server.store.declared = harness.createDeclarations(2, { routes: [] });
    server.store.revision++;
    await kernel.sleep(1_000);
  },
  "the VM that serves it loses its path for new connections": async ({ server, cut }) => {
    const end = partitions.startPartition([server.host], server.targets, "refuses new connections");
    try {
      for (let round = 0; round < 5; round++) {
        await Promise.all([1, 2, 3].map(() => server.call()));
        await Promise.all([1, 2, 3].map(() => cut.call()));
      }
    } finally {
      end();
    }
  },
};

// The mock of a partition replaces a method of all sockets, so the tests run one after another.
test.describe("a request that another VM serves ends", () => {
  for (const [what, happen] of Object.entries(EVENTS)) {
    for (const isIdempotent of [true, false]) {
      const kind = isIdempotent ? "idempotent" : "not idempotent";
      test.test(`since ${what} (${kind})`, async () => {
        await runPassedOn(isIdempotent, happen);
      });
    }
  }

  test.test("since its upload to the other VM takes longer than the runtime allows", async () => {
    // The runtime would end it after 300 s, without regard to its deadline.
    const port = await testing.claimPort();
    const vmMesh = new mesh.Mesh({
      self: {
        vm: model.createVmId("vm"),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId("north"),
        address: `127.0.0.1:${port}`,
        tag: 1,
        capacity: 5,
      },
      listSeeds: () => [],
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "mesh"),
    });
    let timeout: number | undefined;
    vmMesh.onRequest(({ socket }, response) => {
      timeout = (socket as net.Socket & { readonly server?: http.Server }).server?.requestTimeout;
      response.end();
    });
    await vmMesh.start();
    try {
      const caller = net.connect(port, "127.0.0.1");
      caller.write(raw.encodeRequest({ id: "upload" }));
      await harness.waitFor(() => timeout !== undefined, "the request arrives");
      caller.destroy();
      assert.equal(timeout, 0);
    } finally {
      vmMesh.stop();
    }
  });
});
