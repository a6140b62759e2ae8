/**
 * Fixtures of declarations and targets for the tests of all packages.
 */

import * as model from "@hemlockwalk/model";
import type * as declarations from "../mod.ts";

export function createRoute(
  changes: Partial<declarations.DeclaredRoute> = {},
): declarations.DeclaredRoute {
  return {
    id: model.createRouteId("bookings"),
    host: "desk.example",
    pathPrefix: "/bookings/",
    isIdempotent: false,
    objectiveMilliseconds: 500,
    timeoutMilliseconds: 2_000,
    attempts: 2,
    priority: 1,
    isPublic: false,
    destinations: [{ service: model.createServiceId("desk"), weight: 1 }],
    ...changes,
  };
}

export function createDeclarations(
  version: number,
  changes: Partial<declarations.Declarations> = {},
): declarations.Declarations {
  return {
    version: version as declarations.DeclarationsVersion,
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    routes: [createRoute()],
    services: [{ id: model.createServiceId("desk"), connectionsPerTarget: 100 }],
    workspaces: [],
    ...changes,
  };
}

export function createPosition(revision: number, era = 0): declarations.StorePosition {
  return {
    era: era as declarations.StoreEra,
    revision: revision as declarations.StoreRevision,
  };
}

export function createChange(
  id: string,
  revision: number,
  changes: Partial<declarations.TargetEntry> | undefined = {},
  era = 0,
): declarations.TargetChange {
  const target = model.createTargetId(id);
  return {
    id: target,
    position: createPosition(revision, era),
    entry: changes === undefined ? undefined : {
      id: target,
      service: model.createServiceId("desk"),
      address: "127.0.0.1:1",
      dataCentre: model.createDataCentreId("north"),
      slots: 4,
      isDraining: false,
      warmUpMilliseconds: 0,
      startedAt: undefined,
      reportNumber: undefined,
      ...changes,
    },
  };
}

/** Creates the change that removes a target. */
export function createRemoval(id: string, revision: number, era = 0): declarations.TargetChange {
  return { ...createChange(id, revision, {}, era), entry: undefined };
}
