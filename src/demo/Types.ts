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

/** Addresses and files of all processes of a mesh. */
export interface MeshLayout {
  readonly folder: string
  readonly region: string
  readonly replicas: readonly ReplicaLayout[]
  readonly pairs: readonly PairLayout[]
}

/** Services and instances of a mesh. */
export interface MeshPlan {
  readonly region: string
  readonly zones: readonly string[]
  /** Number of instances by service. */
  readonly services: Readonly<Record<string, number>>
  readonly slots: number
  readonly connections: number
  /** Mean service time of the test upstreams, exponentially distributed; 0 for none. */
  readonly serviceTimeMs: number
}

/** Mesh of a demonstration, and the calls that it sends. */
export interface DemoPlan extends MeshPlan {
  /** Path of the configuration file to apply. */
  readonly configurationFile: string
  readonly lookup: { readonly service: string, readonly path: string }
  readonly guarded: { readonly service: string, readonly path: string }
  readonly download: { readonly service: string }
}
