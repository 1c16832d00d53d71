import { join } from 'node:path'
import type { DemoPlan } from './Types.js'

/** Plans of the demonstrations, by the name of their example: both example deployments with fewer instances. */
export const DEMO_PLANS: Readonly<Record<string, DemoPlan>> = {
  kagamino: {
    region: 'kyushu',
    zones: ['fukuoka', 'kitakyushu', 'kumamoto'],
    services: { catalogue: 3, custody: 2, vault: 2 },
    slots: 6,
    connections: 240,
    serviceTimeMs: 2,
    configurationFile: join('examples', 'kagamino', 'mesh.toml'),
    lookup: { service: 'catalogue', path: '/lookups' },
    guarded: { service: 'custody', path: '/checkouts' },
    download: { service: 'vault' }
  },
  kaivoskeittio: {
    region: 'lappi',
    zones: ['lappi-1', 'lappi-2', 'lappi-3'],
    services: { menus: 3, orders: 2, documents: 2 },
    slots: 9,
    connections: 220,
    serviceTimeMs: 2,
    configurationFile: join('examples', 'kaivoskeittio', 'mesh.toml'),
    lookup: { service: 'menus', path: '/menus' },
    guarded: { service: 'orders', path: '/orders' },
    download: { service: 'documents' }
  }
}
