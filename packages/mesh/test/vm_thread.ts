/**
 * One VM of the mesh in a thread of its own, so that a test can freeze it.
 */

import * as threads from "node:worker_threads";
import * as kernel from "@hemlockwalk/kernel";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";

/** Settings of the VM. */
export interface ThreadSettings {
  readonly name: string;
  readonly dataCentre: string;
  readonly port: number;
  readonly seeds: readonly string[];
  readonly capacity: number;
}

/** What the test asks of the VM. */
export type ThreadCommand =
  | { readonly kind: "publish"; readonly version: number }
  /** Sends a version again, whether it is known or not. */
  | { readonly kind: "repeat"; readonly version: number }
  /** Blocks the thread: its sockets stay open, and nothing answers on them. */
  | { readonly kind: "freeze"; readonly milliseconds: number }
  | { readonly kind: "stop" };

/** What the VM tells the test. */
export type ThreadEvent =
  | { readonly kind: "size"; readonly size: number }
  /** Time in milliseconds since the epoch, by the clock that all threads share. */
  | { readonly kind: "applied"; readonly version: number; readonly at: number };

const SIZE_INTERVAL_MILLISECONDS = 50;

const STATE = "versions";

function post(event: ThreadEvent): void {
  threads.parentPort?.postMessage(event);
}

const settings = threads.workerData as ThreadSettings;
const vm = new mesh.Mesh({
  self: {
    vm: model.createVmId(settings.name),
    incarnation: model.createIncarnation(),
    dataCentre: model.createDataCentreId(settings.dataCentre),
    address: `127.0.0.1:${settings.port}`,
    tag: settings.port,
    capacity: settings.capacity,
  },
  listSeeds: () => settings.seeds,
  logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "mesh"),
});

let latest = 0;

function apply(version: number): boolean {
  if (version <= latest) {
    return false;
  }
  latest = version;
  post({ kind: "applied", version, at: performance.timeOrigin + performance.now() });
  return true;
}

vm.addReplicatedState(STATE, {
  digest: { get: () => latest, isBehind: (other: number) => other > latest },
  createSnapshot: () => latest,
  receive: (payload) => apply(Number(payload)),
});

await vm.start();
const sizes = setInterval(
  () => post({ kind: "size", size: vm.size }),
  SIZE_INTERVAL_MILLISECONDS,
);

threads.parentPort?.on("message", (command: ThreadCommand) => {
  switch (command.kind) {
    case "publish":
      if (apply(command.version)) {
        vm.publish(STATE, command.version);
      }
      return;
    case "repeat":
      vm.publish(STATE, command.version);
      return;
    case "freeze":
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, command.milliseconds);
      return;
    case "stop":
      clearInterval(sizes);
      vm.stop();
      threads.parentPort?.close();
      return;
  }
});
