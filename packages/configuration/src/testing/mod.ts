/**
 * Simple configurations for tests of other packages, without a chain of notes and without checks.
 */

import * as model from "@hemlockwalk/model";
import type * as types from "../types.ts";

const FLEET: model.FleetDeclaration = {
  vmLimit: 1,
  keyPlacement: { header: "hemlockwalk-key" },
  regions: {},
};

/** The contents of a configuration in a test. All fields are optional. */
export interface PlainContents {
  readonly number?: number;
  readonly fleet?: Partial<model.FleetDeclaration>;
  readonly workspaces?: readonly model.Workspace[];
  readonly keys?: readonly model.Key[];
  readonly services?: readonly model.Service[];
  readonly targets?: readonly model.Target[];
  readonly routes?: readonly model.Route[];
}

/** A snapshot backed by plain lists. */
export class PlainSnapshot implements types.Snapshot {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
  readonly #contents: PlainContents;

  constructor(contents: PlainContents) {
    this.number = model.createNoteNumber(contents.number ?? 1);
    this.digest = model.createNoteDigest(`note ${this.number}`);
    this.fleet = { ...FLEET, ...contents.fleet };
    this.#contents = contents;
  }

  findKey(digest: model.KeyDigest): model.Key | undefined {
    return this.#contents.keys?.find((key) => key.digest === digest);
  }

  findWorkspace(id: model.WorkspaceId): model.Workspace | undefined {
    return this.#contents.workspaces?.find((workspace) => workspace.id === id);
  }

  findService(id: model.ServiceId): model.Service | undefined {
    return this.#contents.services?.find((service) => service.id === id);
  }

  findRoute(id: model.RouteId): model.Route | undefined {
    return this.#contents.routes?.find((route) => route.id === id);
  }

  findTarget(id: model.TargetId): model.Target | undefined {
    return this.#contents.targets?.find((target) => target.id === id);
  }

  matchRoute(_host: string, path: string): model.Route | undefined {
    return this.#contents.routes?.find(({ pathPrefix }) =>
      path === pathPrefix || path.startsWith(`${pathPrefix}/`)
    );
  }

  listTargets(service: model.ServiceId): readonly model.Target[] {
    return (this.#contents.targets ?? []).filter((target) => target.service === service);
  }

  listServices(): Iterable<model.Service> {
    return this.#contents.services ?? [];
  }

  listWorkspaces(): Iterable<model.Workspace> {
    return this.#contents.workspaces ?? [];
  }

  listRoutes(): Iterable<model.Route> {
    return this.#contents.routes ?? [];
  }

  listKeys(): Iterable<model.Key> {
    return this.#contents.keys ?? [];
  }
}

/** A configuration service whose snapshot the test sets. */
export class SettableConfiguration implements types.ConfigurationService {
  readonly #listeners: types.SnapshotListener[] = [];
  #snapshot: types.Snapshot | undefined;

  constructor(snapshot?: types.Snapshot) {
    this.#snapshot = snapshot;
  }

  getSnapshot(): types.Snapshot | undefined {
    return this.#snapshot;
  }

  isReady(): boolean {
    return this.#snapshot !== undefined;
  }

  onChange(listener: types.SnapshotListener): void {
    this.#listeners.push(listener);
  }

  /** Sets the snapshot and notifies the listeners. */
  set(current: types.Snapshot, withdrawnKeys: readonly model.KeyDigest[] = []): void {
    const previous = this.#snapshot;
    this.#snapshot = current;
    for (const listener of this.#listeners) {
      listener({ previous, current, withdrawnKeys });
    }
  }
}
