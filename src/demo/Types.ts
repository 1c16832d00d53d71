/** Addresses of one node and the upstream beside it. */
export interface PairLayout {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly peer: string
  readonly caller: string
  readonly admin: string
  readonly upstream: string
  readonly upstreamAdmin: string
  /** Path of the upstream's journal. */
  readonly journal: string
}

/** Addresses of one control replica. */
export interface ReplicaLayout {
  readonly id: string
  readonly zone: string
  readonly peer: string
  readonly admin: string
  readonly dataFolder: string
}

/** All processes of a demonstration. */
export interface MeshLayout {
  readonly folder: string
  readonly region: string
  readonly replicas: readonly ReplicaLayout[]
  readonly pairs: readonly PairLayout[]
}

/** What a mesh is made of. */
export interface MeshPlan {
  readonly region: string
  readonly zones: readonly string[]
  /** Instances by service. */
  readonly services: Readonly<Record<string, number>>
  readonly slots: number
  readonly connections: number
  /** Mean service time of the stand-ins; exponential unless 0. */
  readonly serviceTimeMs: number
}

/** What a demonstration is made of, and which calls it sends. */
export interface DemoPlan extends MeshPlan {
  /** Configuration file to hand over. */
  readonly configurationFile: string
  readonly lookup: { readonly service: string, readonly path: string }
  readonly guarded: { readonly service: string, readonly path: string }
  readonly download: { readonly service: string }
}
