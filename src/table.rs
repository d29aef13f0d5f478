//! Tables indexed by dedicated types, so that an index of a worker can't be used as that of a class.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// Index type of a table's rows.
pub trait RowId: Copy {
    /// The index of a position.
    fn new(position: usize) -> Self;
    /// The position of the index.
    fn position(self) -> usize;
}

macro_rules! row_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(usize);

        impl RowId for $name {
            fn new(position: usize) -> Self {
                $name(position)
            }

            fn position(self) -> usize {
                self.0
            }
        }
    };
}

row_id!(
    /// Index of a class of requests, as in the settings.
    ClassId
);
row_id!(
    /// Index of a tenant, as in the settings.
    TenantId
);
row_id!(
    /// Index of a kind of worker, as in the endpoint list.
    KindId
);
row_id!(
    /// Index of a worker, in the order in which this dispatcher learned of them.
    WorkerIndex
);

/// A table of rows indexed by `I`.
pub struct Table<I, T> {
    rows: Vec<T>,
    index: PhantomData<I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Self {
        Table { rows: Vec::new(), index: PhantomData }
    }
}

impl<I: RowId, T> Table<I, T> {
    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The row at an index, if it exists.
    pub fn get(&self, id: I) -> Option<&T> {
        self.rows.get(id.position())
    }

    /// Appends a row and returns its index.
    pub fn push(&mut self, row: T) -> I {
        self.rows.push(row);
        I::new(self.rows.len() - 1)
    }

    /// Appends rows until the index exists.
    pub fn grow_to(&mut self, id: I, row: impl FnMut() -> T) {
        let len = self.rows.len().max(id.position() + 1);
        self.rows.resize_with(len, row);
    }

    /// Iterates over all indexes in order.
    pub fn ids(&self) -> impl Iterator<Item = I> + use<I, T> {
        (0..self.rows.len()).map(I::new)
    }

    /// Iterates over all rows with their indexes in order.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.rows.iter().enumerate().map(|(position, row)| (I::new(position), row))
    }

    /// All rows in order.
    pub fn rows(&self) -> &[T] {
        &self.rows
    }

    /// All rows in order, mutably.
    pub fn rows_mut(&mut self) -> &mut [T] {
        &mut self.rows
    }
}

impl<I: RowId, T> Index<I> for Table<I, T> {
    type Output = T;

    fn index(&self, id: I) -> &T {
        &self.rows[id.position()]
    }
}

impl<I: RowId, T> IndexMut<I> for Table<I, T> {
    fn index_mut(&mut self, id: I) -> &mut T {
        &mut self.rows[id.position()]
    }
}
