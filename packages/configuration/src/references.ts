/**
 * References between entities, and the number of references to each entity.
 *
 * With these counts, the withdrawal of a workspace or a service is checked without scanning all
 * keys, routes and targets.
 */

import type * as model from "@hemlockwalk/model";
import * as shardedMap from "./sharded_map.ts";

/** Counts that are changed between two yields. */
const COUNTS_PER_STEP = 64;

/** Sections whose entities are referenced by other entities. */
export type ReferencedSection = "workspaces" | "services";

/** An entity of any kind. */
export type Entity = model.Workspace | model.Key | model.Service | model.Target | model.Route;

/** One reference of an entity. */
export interface Reference {
  readonly section: ReferencedSection;
  readonly id: string;
  /** Path of the field that holds the reference. */
  readonly path: readonly PropertyKey[];
}

/** Names of a single entity of each section, for diagnostics. */
export const KIND_NAMES: Readonly<Record<model.SectionName, string>> = {
  workspaces: "workspace",
  keys: "key",
  services: "service",
  targets: "target",
  routes: "route",
};

/** The identifier of an entity. */
export function getEntityId(entity: Entity): string {
  return "digest" in entity ? entity.digest : entity.id;
}

/** Lists the references that an entity contains. */
export function listReferences(section: model.SectionName, entity: Entity): Reference[] {
  switch (section) {
    case "keys":
      return [{
        section: "workspaces",
        id: (entity as model.Key).workspace,
        path: ["workspace"],
      }];
    case "targets":
      return [{ section: "services", id: (entity as model.Target).service, path: ["service"] }];
    case "routes":
      return listRouteReferences(entity as model.Route);
    default:
      return [];
  }
}

function listRouteReferences(route: model.Route): Reference[] {
  const references: Reference[] = [{ section: "services", id: route.service, path: ["service"] }];
  for (const [index, workspace] of (route.workspaces ?? []).entries()) {
    references.push({ section: "workspaces", id: workspace, path: ["workspaces", index] });
  }
  return references;
}

/** A map from identifiers to counts. */
interface CountMap {
  get(id: string): number | undefined;
  set(id: string, count: number): unknown;
  delete(id: string): unknown;
}

/** Adds to a count, and deletes the entry if the count becomes zero. */
function addCount(counts: CountMap, id: string, difference: number): void {
  const count = (counts.get(id) ?? 0) + difference;
  if (count === 0) {
    counts.delete(id);
  } else {
    counts.set(id, count);
  }
}

/** The changes that a note makes to the reference counts. */
export class ReferenceDifferences {
  readonly workspaces = new Map<string, number>();
  readonly services = new Map<string, number>();

  get(section: ReferencedSection, id: string): number {
    return this[section].get(id) ?? 0;
  }

  add(section: ReferencedSection, id: string, difference: number): void {
    addCount(this[section], id, difference);
  }
}

/** The number of references to each entity. */
export class ReferenceCounts {
  readonly #workspaces = new shardedMap.ShardedMap<string, number>();
  readonly #services = new shardedMap.ShardedMap<string, number>();

  get(section: ReferencedSection, id: string): number {
    return this.#getCounts(section).get(id) ?? 0;
  }

  add(section: ReferencedSection, id: string, difference: number): void {
    addCount(this.#getCounts(section), id, difference);
  }

  /** Adds the differences made by a note, in short steps. */
  *addAllInSteps(differences: ReferenceDifferences): Generator<void, void> {
    let count = 0;
    for (const section of ["workspaces", "services"] as const) {
      for (const [id, difference] of differences[section]) {
        this.add(section, id, difference);
        count++;
        if (count % COUNTS_PER_STEP === 0) {
          yield;
        }
      }
    }
  }

  #getCounts(section: ReferencedSection): CountMap {
    return section === "workspaces" ? this.#workspaces : this.#services;
  }
}
