/**
 * The declarations in force on one VM, indexed for requests.
 *
 * Versions only increase: a VM ignores an older version, whatever its source.
 */

import type * as model from "@hemlockwalk/model";
import * as routes from "./route_table.ts";
import type * as types from "./types.ts";

/** One version, indexed by host and by key. */
export class DeclarationView {
  readonly declarations: types.Declarations;
  readonly #routes: routes.RouteTable;
  readonly #workspaceByKey = new Map<string, types.DeclaredWorkspace>();
  readonly #workspaceById = new Map<model.WorkspaceId, types.DeclaredWorkspace>();
  readonly #serviceById: ReadonlyMap<model.ServiceId, types.DeclaredService>;

  constructor(declarations: types.Declarations) {
    this.declarations = declarations;
    this.#routes = new routes.RouteTable(declarations.routes);
    this.#serviceById = new Map(declarations.services.map((service) => [service.id, service]));
    for (const workspace of declarations.workspaces) {
      this.#workspaceById.set(workspace.id, workspace);
      for (const key of workspace.keys) {
        this.#workspaceByKey.set(key, workspace);
      }
    }
  }

  /** Whether requests must carry a key unless their route is public. */
  get requiresKeys(): boolean {
    return this.declarations.workspaces.length > 0;
  }

  findRoute(host: string, path: string): types.DeclaredRoute | undefined {
    return this.#routes.find(host, path);
  }

  findWorkspace(key: string): types.DeclaredWorkspace | undefined {
    return this.#workspaceByKey.get(key);
  }

  findService(id: model.ServiceId): types.DeclaredService | undefined {
    return this.#serviceById.get(id);
  }

  getWorkspaceById(id: model.WorkspaceId): types.DeclaredWorkspace | undefined {
    return this.#workspaceById.get(id);
  }
}

/** Called with each version that comes into force. */
export type VersionListener = (view: DeclarationView) => void;

/** Holds the latest version of the declarations. */
export class DeclarationStore {
  #current: DeclarationView | undefined;
  readonly #listeners: VersionListener[] = [];

  /** The version in force; undefined until the first one has arrived. */
  get current(): DeclarationView | undefined {
    return this.#current;
  }

  onVersion(listener: VersionListener): void {
    this.#listeners.push(listener);
  }

  /** Applies declarations and returns `true`, unless the same or a later version is in force. */
  apply(declarations: types.Declarations): boolean {
    const isNewer = this.#current === undefined ||
      declarations.version > this.#current.declarations.version;
    if (!isNewer) {
      return false;
    }
    this.#current = new DeclarationView(declarations);
    for (const listener of this.#listeners) {
      listener(this.#current);
    }
    return true;
  }
}
