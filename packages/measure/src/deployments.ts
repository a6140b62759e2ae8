/**
 * The deployments of the first two users.
 */

import type * as types from "./types.ts";

/** Rates of the workspaces of a deployment in requests per second. Most of them are small. */
const WORKSPACE_RATES = [120, 80, 60, 30, 12, 6, 4, 2] as const;

/** The burst of a workspace, as the number of seconds at its rate. */
const BURST_SECONDS = 2;

const VM_COUNT = 40;
const VM_LIMIT = 44;

function createWorkspaces(): types.WorkspacePlan[] {
  return WORKSPACE_RATES.map((rate, index) => ({
    id: `workspace-${index + 1}`,
    key: `measurement-key-of-workspace-${index + 1}`,
    rate,
    burst: Math.max(4, rate * BURST_SECONDS),
  }));
}

const pitchwise: types.DeploymentPlan = {
  id: "pitchwise",
  dataCentres: ["north-1", "north-2", "north-3", "north-4"],
  region: "be-north",
  dataCentreDelayMilliseconds: 0.5,
  callerDelayMilliseconds: 1,
  services: [
    {
      id: "inspection-desk",
      pathPrefix: "/inspection",
      targets: 10,
      slots: 6,
      connections: 330,
      floor: 0.7,
      weight: 4,
    },
    {
      id: "permit-desk",
      pathPrefix: "/permits",
      targets: 14,
      slots: 6,
      connections: 330,
      floor: 0.7,
      weight: 1,
    },
  ],
  workspaces: createWorkspaces(),
  vms: VM_COUNT,
  vmLimit: VM_LIMIT,
  serviceTimeMilliseconds: 40,
};

const huron: types.DeploymentPlan = {
  id: "huron",
  dataCentres: ["duluth", "sault", "tobermory"],
  region: "lakes",
  dataCentreDelayMilliseconds: 1.5,
  callerDelayMilliseconds: 3,
  services: [
    {
      id: "booking",
      pathPrefix: "/bookings",
      targets: 17,
      slots: 3,
      connections: 360,
      floor: 0.7,
      weight: 1,
    },
    {
      id: "dispatch",
      pathPrefix: "/dispatch",
      targets: 13,
      slots: 3,
      connections: 360,
      floor: 0.7,
      weight: 1,
    },
  ],
  workspaces: createWorkspaces(),
  vms: VM_COUNT,
  vmLimit: VM_LIMIT,
  serviceTimeMilliseconds: 40,
};

/** All deployments by their identifiers. */
export const DEPLOYMENTS: ReadonlyMap<string, types.DeploymentPlan> = new Map(
  [pitchwise, huron].map((deployment) => [deployment.id, deployment]),
);

/** Returns the identifier of a target of a service. Numbers start at 1. */
export function getTargetId(service: types.ServicePlan, number: number): string {
  return `${service.id}-${number}`;
}

/** Returns the data centre of the VM or target with the given index, assigned round-robin. */
export function getDataCentre(deployment: types.DeploymentPlan, index: number): string {
  return deployment.dataCentres[index % deployment.dataCentres.length] ?? "";
}
