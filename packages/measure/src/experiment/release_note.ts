/**
 * The release notes of a measured deployment.
 */

import * as model from "@hemlockwalk/model";
import * as deployments from "../deployments.ts";
import * as emulatedTarget from "../emulator/emulated_target.ts";
import type * as types from "../types.ts";

/** The text of a note and its digest. */
export interface NoteText {
  readonly number: number;
  readonly text: string;
  readonly digest: string;
}

/** Creates the first note, which declares the whole deployment. */
export function createFirstNote(
  deployment: types.DeploymentPlan,
  targetAddresses: Readonly<Record<string, string>>,
): NoteText {
  return createNote(1, null, {
    fleet: {
      vmLimit: deployment.vmLimit,
      regions: Object.fromEntries(
        deployment.dataCentres.map((dataCentre) => [dataCentre, deployment.region]),
      ),
    },
    added: {
      workspaces: deployment.workspaces.map(({ id, rate, burst }) => ({ id, rate, burst })),
      keys: deployment.workspaces.map(({ id, key }) => ({
        digest: model.createKeyDigest(key),
        workspace: id,
      })),
      services: deployment.services.map(createService),
      targets: deployment.services.flatMap((service) =>
        createTargets(deployment, service, targetAddresses)
      ),
      routes: deployment.services.map((service) => ({
        id: service.id,
        pathPrefix: service.pathPrefix,
        service: service.id,
        weight: service.weight,
        timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
      })),
    },
  });
}

const ROUTE_TIMEOUT_MILLISECONDS = 5_000;

/** Creates the note that withdraws a workspace's key. */
export function createWithdrawal(previous: NoteText, key: string): NoteText {
  return createNote(previous.number + 1, previous.digest, {
    withdrawn: { keys: [model.createKeyDigest(key)] },
  });
}

function createNote(number: number, previous: string | null, contents: object): NoteText {
  const text = JSON.stringify({ format: model.NOTE_FORMAT, number, previous, ...contents });
  return { number, text, digest: model.createNoteDigest(text) };
}

function createService(service: types.ServicePlan): object {
  return {
    id: service.id,
    floor: service.floor,
    slots: service.slots,
    connections: service.connections,
    notRunSignal: {
      status: 503,
      header: emulatedTarget.NOT_RUN_HEADER,
      value: emulatedTarget.NOT_RUN_VALUE,
    },
  };
}

function createTargets(
  deployment: types.DeploymentPlan,
  service: types.ServicePlan,
  addresses: Readonly<Record<string, string>>,
): object[] {
  return Array.from({ length: service.targets }, (_, index) => {
    const id = deployments.getTargetId(service, index + 1);
    return {
      id,
      service: service.id,
      address: addresses[id],
      dataCentre: deployments.getDataCentre(deployment, index),
    };
  });
}
