/**
 * A worker that runs the emulated targets of a deployment.
 */

import * as deployments from "../deployments.ts";
import * as random from "../random.ts";
import type * as types from "../types.ts";
import type * as commands from "./commands.ts";
import * as emulatedTarget from "./emulated_target.ts";
import * as worker from "./worker.ts";

const targets = new Map<string, emulatedTarget.EmulatedTarget>();
let runs: types.RunRecord[] = [];
let attempts: types.AttemptRecord[] = [];
let clockStart = performance.now();

const observer: emulatedTarget.TargetObserver = {
  recordAttempt(target) {
    attempts.push({ target, startMilliseconds: performance.now() - clockStart });
  },
  recordRun(target, id) {
    runs.push({ id, target, startMilliseconds: performance.now() - clockStart });
  },
};

async function startTargets(
  request: commands.Commands["startTargets"]["request"],
): Promise<Record<string, string>> {
  const addresses: Record<string, string> = {};
  let seed = request.seed;
  for (const service of request.deployment.services) {
    for (let number = 1; number <= service.targets; number++) {
      seed++;
      const id = deployments.getTargetId(service, number);
      const target = new emulatedTarget.EmulatedTarget(
        id,
        service,
        request.deployment,
        new random.RandomStream(seed),
        observer,
      );
      await target.start();
      targets.set(id, target);
      addresses[id] = target.address;
    }
  }
  return addresses;
}

worker.serveCommands({
  startTargets,
  setFault({ target, fault }) {
    targets.get(target)?.setFault(fault);
    return undefined;
  },
  startClock() {
    clockStart = performance.now();
    runs = [];
    attempts = [];
    return undefined;
  },
  takeRecords: () => ({ runs, attempts }),
  reportProcess: worker.getProcessReport,
});
